package configview

import (
	"context"

	"siskinstack.example/siskinstack/infra"
)

// WrapStore returns a store that adds the configuration values that it reads and writes to this view at once. The
// operators' routes have to write through it, so that this VM knows every change that it has acknowledged, even if the
// store fails afterwards.
func (v *View) WrapStore(store infra.Store) infra.Store {
	return &observingStore{Store: store, view: v}
}

type observingStore struct {
	infra.Store
	view *View
}

// Get reads a key and adds its value to the view.
func (s *observingStore) Get(ctx context.Context, key string) (infra.KeyValue, error) {
	kv, err := s.Store.Get(ctx, key)
	if err == nil {
		s.view.observe(kv.Key, kv.Value, kv.Revision)
	}
	return kv, err
}

// Put writes a key and adds its value to the view.
func (s *observingStore) Put(ctx context.Context, request infra.PutRequest) (infra.Revision, error) {
	revision, err := s.Store.Put(ctx, request)
	if err == nil {
		s.view.observe(request.Key, append([]byte(nil), request.Value...), revision)
	}
	return revision, err
}

func (v *View) observe(key string, value []byte, revision infra.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.add([]infra.KeyValue{{Key: key, Value: value, Revision: revision}})
	v.publish()
}
