"""Log replicated by Raft (Ongaro and Ousterhout 2014; Ongaro 2014). Pure; imports only the kernel."""
