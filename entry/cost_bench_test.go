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

// processorTime is the time that this process has used on all cores.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRequestCost measures the processor time of a request in all processes together: sent to the endpoint
// directly, through an entry VM of its zone, over one Forward call, and with a claim. What exceeds the direct one is the
// cost of the entry VMs.
func BenchmarkRequestCost(b *testing.B) {
	c := newCluster(b, 2, workFor(0), 0)
	path := "/v1/services/" + testService + "/requests"
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	serial := 0
	for _, way := range []struct {
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
			b.Run(fmt.Sprintf("%s/bytes=%d", way.name, size), func(b *testing.B) {
				began := processorTime()
				n := 0
				for b.Loop() {
					request, _ := http.NewRequest(http.MethodPost, way.url, bytes.NewReader(body))
					request.Header.Set(HeaderIdempotent, fmt.Sprint(!way.claim))
					request.Header.Set(httpclient.HeaderRequestID, "direct")
					serial++
					if way.claim {
						request.Header.Set(HeaderRequestKey, fmt.Sprintf("key-%d", serial))
					}
					response, err := client.Do(request)
					assert.NilError(b, err)
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
					assert.Equal(b, response.StatusCode, http.StatusOK)
					n++
				}
				b.ReportMetric(float64((processorTime()-began).Microseconds())/float64(n), "processor-µs")
			})
		}
	}
}
