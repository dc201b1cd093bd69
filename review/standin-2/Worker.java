package review;

import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A plain worker: runs as many requests at once as it has slots, queues a few more and turns the rest away. */
class Worker {
    final String id;
    final Http.Server server;
    private final Semaphore slots;
    private final AtomicInteger inside = new AtomicInteger();
    private final int room;
    private final int workMillis;
    /** How often each request has run, by its id. */
    static final Map<String, AtomicInteger> RUNS = new ConcurrentHashMap<>();

    Worker(String id, int slots, int queue, int workMillis) throws Exception {
        this.id = id;
        this.slots = new Semaphore(slots, true);
        room = slots + queue;
        this.workMillis = workMillis;
        server = new Http.Server(this::handle);
    }

    boolean handle(Http.Message request, Socket socket, OutputStream out) throws Exception {
        String requestId = request.header("X-Berylpoint-Request-Id");
        String echo = "X-Berylpoint-Request-Id: " + requestId + "\r\n";
        String expected = request.header("X-Berylpoint-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            Http.send(out, 421, echo + "X-Berylpoint-Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        if (inside.incrementAndGet() > room) {
            inside.decrementAndGet();
            Http.send(out, 503, echo + "X-Berylpoint-Not-Executed: 1\r\n", new byte[0]);
            return true;
        }
        try {
            slots.acquire();
            try {
                RUNS.computeIfAbsent(requestId, k -> new AtomicInteger()).incrementAndGet();
                return run(request, echo, out);
            } finally {
                slots.release();
            }
        } finally {
            inside.decrementAndGet();
        }
    }

    boolean run(Http.Message request, String echo, OutputStream out) throws Exception {
        Thread.sleep(workMillis);
        Http.send(out, 200, echo + "X-Berylpoint-Response-Seal: 3e1b.07\r\n", new byte[800]);
        return true;
    }
}
