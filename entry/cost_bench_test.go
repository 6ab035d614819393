package entry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/standin/httpclient"
)

// cpuTime returns the CPU time that this process has used on all cores.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRequestCost measures the CPU time of a request, summed over caller, entry VMs and endpoint: sent to the
// endpoint directly, through an entry VM of its zone, over one Forward call, and with a claim. The excess over the
// direct one is the cost of the entry VMs.
func BenchmarkRequestCost(b *testing.B) {
	c := newCluster(b, 2, workFor(0), 0)
	path := "/v1/services/" + testService + "/requests"
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	lastKey := 0
	for _, target := range []struct {
		name, url string
		claim     bool
	}{
		{"direct", "http://" + c.listed[0].Address + httpclient.PathCall, false},
		{"local", c.vms[0].url + path, false},
		{"forward", c.vms[1].url + path, false},
		{"local-claim", c.vms[0].url + path, true},
	} {
		for _, size := range []int{1 << 10, 16 << 10} {
			body := bytes.Repeat([]byte("x"), size)
			b.Run(fmt.Sprintf("%s/bytes=%d", target.name, size), func(b *testing.B) {
				startTime := cpuTime()
				n := 0
				for b.Loop() {
					request, _ := http.NewRequest(http.MethodPost, target.url, bytes.NewReader(body))
					request.Header.Set(HeaderIdempotent, fmt.Sprint(!target.claim))
					request.Header.Set(httpclient.HeaderRequestID, "direct")
					lastKey++
					if target.claim {
						request.Header.Set(HeaderRequestKey, fmt.Sprintf("key-%d", lastKey))
					}
					response, err := client.Do(request)
					assert.NilError(b, err)
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
					assert.Equal(b, response.StatusCode, http.StatusOK)
					n++
				}
				b.ReportMetric(float64((cpuTime()-startTime).Microseconds())/float64(n), "processor-µs")
			})
		}
	}
}
