package platform

// Exit ends the server for good. Its entry is deleted, and nobody listens at its address any more.
func (s *Server) Exit() {
	s.mutex.Lock()
	s.isUnlisted = true
	s.fleet.store.put(serversTopic, s.id, nil)
	s.mutex.Unlock()
	s.fleet.mutex.Lock()
	delete(s.fleet.servers, s.id)
	s.fleet.mutex.Unlock()
	s.shutDown()
}
