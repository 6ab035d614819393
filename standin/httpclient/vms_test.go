package httpclient_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/standin"
	"siskinstack.example/siskinstack/standin/httpclient"
	"siskinstack.example/siskinstack/standin/server"
)

// countingWriter counts the bytes of a response.
type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (w countingWriter) Write(p []byte) (int, error) {
	w.bytes.Add(int64(len(p)))
	return w.ResponseWriter.Write(p)
}

// TestUnchangedListIsNotSentAgain guards against sending a list of thousands of VMs on every read, and against a reader
// that misses a change.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	fake := clock.NewFake(time.Unix(0, 0))
	vms := make([]infra.VM, 1000)
	for i := range vms {
		vms[i] = infra.VM{Name: string(rune('a'+i%26)) + "worker", Role: infra.RoleWorker, Zone: "z"}
	}
	list := standin.NewVMList(fake, time.Second, vms)
	handler := server.New(standin.NewStore(fake), list, standin.NewWorkers(fake, nil, nil))
	var sent atomic.Int64
	site := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(countingWriter{w, &sent}, r)
	}))
	defer site.Close()
	reader := httpclient.New(site.URL).VMs()
	read := func() (int, int64) {
		before := sent.Load()
		got, err := reader.List(context.Background())
		assert.NilError(t, err)
		return len(got.VMs), sent.Load() - before
	}
	n, first := read()
	assert.Equal(t, n, 1000)
	n, second := read()
	assert.Equal(t, n, 1000)
	assert.Assert(t, second < 128, "%d bytes after %d", second, first)
	list.Update(func(vms []infra.VM) []infra.VM { return vms[:999] })
	fake.Advance(2 * time.Second)
	n, _ = read()
	assert.Equal(t, n, 999)
}
