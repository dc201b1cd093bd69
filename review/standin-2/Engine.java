package review;

import java.io.OutputStream;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A model worker: answers with a stream of events whose ids rise from the one after Last-Event-Id. */
class Engine extends Worker {
    /** Requests whose whole stream a sound worker has written. */
    static final Set<String> WRITTEN = ConcurrentHashMap.newKeySet();
    private final int events;
    private final int gapMillis;

    Engine(String id, int slots, int queue, int events, int gapMillis) throws Exception {
        super(id, slots, queue, 0);
        this.events = events;
        this.gapMillis = gapMillis;
    }

    @Override
    boolean run(Http.Message request, String echo, OutputStream out) throws Exception {
        String last = request.header("Last-Event-Id");
        int from = last == null ? 1 : Integer.parseInt(last.trim()) + 1;
        head(echo, out);
        for (int i = from; i <= events; i++) {
            Thread.sleep(gapMillis);
            event(out, "id: " + i + "\ndata: " + "x".repeat(56) + "\n\n");
        }
        out.write("0\r\n\r\n".getBytes());
        out.flush();
        WRITTEN.add(request.header("X-Berylpoint-Request-Id"));
        return true;
    }

    static void head(String echo, OutputStream out) throws Exception {
        out.write(("HTTP/1.1 200 OK\r\n" + echo + "X-Berylpoint-Response-Seal: 3e1b.07\r\n"
            + "X-Berylpoint-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n").getBytes());
        out.flush();
    }

    static void event(OutputStream out, String text) throws Exception {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
        out.flush();
    }
}
