package resume

import (
	"io"
	"net"
	"sync"
	"testing"

	"magnoliastall.example/magno/origin"
)

// link passes connections on to an address, and can lose what is sent over them.
type link struct {
	net.Listener
	to string

	mu sync.Mutex
	// loses is true while what is sent is lost, lost the number of bytes that were.
	loses bool
	lost  int
	conns []net.Conn
}

func startLink(t *testing.T, to string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{Listener: listener, to: to}
	var serving sync.WaitGroup
	serving.Go(func() { l.serve(&serving) })
	t.Cleanup(func() {
		_ = listener.Close()
		l.cut()
		serving.Wait()
	})
	return l
}

// serve passes connections on until the listener is closed.
func (l *link) serve(serving *sync.WaitGroup) {
	for {
		from, err := l.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", l.to)
		if err != nil {
			_ = from.Close()
			continue
		}
		l.mu.Lock()
		l.conns = append(l.conns, from, to)
		l.mu.Unlock()
		serving.Go(func() { _, _ = io.Copy(from, to) })
		serving.Go(func() { _, _ = io.Copy(lossy{l, to}, from) })
	}
}

// cut closes all connections.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
	l.conns = nil
}

// lose begins or ends to lose what is sent.
func (l *link) lose(loses bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loses = loses
}

func (l *link) bytesLost() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// lossy is the sending direction of a link.
type lossy struct {
	*link
	to net.Conn
}

func (l lossy) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loses {
		l.lost += len(b)
		return len(b), nil
	}
	return l.to.Write(b)
}

// Guards against records that no keeper holds, since the connection over which they were told broke before
// they arrived.
func TestRecordsOutliveBrokenConnections(t *testing.T) {
	f := &fleet{}
	teller, keeper := f.newNode(t), f.newNode(t)
	f.entries, f.agents = []*node{teller}, []*node{keeper}
	between := startLink(t, keeper.Self)
	teller.Agents = func() []string { return []string{between.Addr().String()} }
	keeper.start(t, false)
	teller.start(t, true)
	f.update(map[string][]string{service: {"v1", "v2"}})
	teller.Record("before", origin.Origin{Service: service, Build: "v1"})
	waitUntil(t, "the agent is told", func() bool { return knowing(f.agents, "before") == 1 })
	between.lose(true)
	teller.Record("lost", origin.Origin{Service: service, Build: "v1"})
	waitUntil(t, "a message is lost", func() bool { return between.bytesLost() > 0 })
	between.lose(false)
	between.cut()
	teller.Record("after", origin.Origin{Service: service, Build: "v1"})
	f.advance(buildsInterval)
	waitUntil(t, "the agent is told again", func() bool { return knowing(f.agents, "after") == 1 })
	waitUntil(t, "the agent is told what was lost", func() bool { return knowing(f.agents, "lost") == 1 })
}
