package entry

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/standin/httpclient"
)

// bareProxy starts a reverse proxy of net/http alone: it reads the request, calls the endpoint and copies the response.
func bareProxy(b *testing.B, endpoint string) string {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, _ := http.NewRequestWithContext(r.Context(), http.MethodPost, "http://"+endpoint+httpclient.PathCall, r.Body)
		request.ContentLength = r.ContentLength
		response, err := client.Do(request)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer func() { _ = response.Body.Close() }()
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	}))
	b.Cleanup(s.Close)
	return s.URL
}

// BenchmarkHop measures one request through entry and router, in the endpoint's zone and over one Forward call, and
// through a bare proxy to the same endpoint. The three are interleaved, so that a change of the machine's load affects
// all.
func BenchmarkHop(b *testing.B) {
	c := newCluster(b, 2, workFor(0), 0)
	path := "/v1/services/" + testService + "/requests"
	paths := []struct{ name, url string }{
		{"bare", bareProxy(b, c.listed[0].Address)},
		{"local", c.vms[0].url + path},
		{"forward", c.vms[1].url + path},
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	body := bytes.Repeat([]byte("x"), 1024)
	times := make([][]time.Duration, len(paths))
	send := func(url string) time.Duration {
		start := time.Now()
		response, err := client.Post(url, "text/plain", bytes.NewReader(body))
		assert.NilError(b, err)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		assert.Equal(b, response.StatusCode, http.StatusOK)
		return time.Since(start)
	}
	for range 200 {
		for _, p := range paths {
			send(p.url)
		}
	}
	for b.Loop() {
		for i, p := range paths {
			times[i] = append(times[i], send(p.url))
		}
	}
	median := func(i int) float64 { return float64(times[i][len(times[i])/2].Microseconds()) }
	for i, p := range paths {
		slices.Sort(times[i])
		b.ReportMetric(median(i), p.name+"-p50-us")
		b.ReportMetric(float64(times[i][len(times[i])*99/100].Microseconds()), p.name+"-p99-us")
	}
	b.ReportMetric(median(1)/median(0), "local/bare")
	b.ReportMetric(median(2)/median(0), "forward/bare")
}
