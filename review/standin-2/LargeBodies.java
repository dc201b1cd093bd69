package review;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients send requests with bodies as long as the config allows, while others make bookings. */
final class LargeBodies extends Case {
    /** `max_body_bytes` of the config. */
    private static final int MAX_BODY_BYTES = 4_194_304;
    private static final int USUAL_BODY_BYTES = 12_000;
    private static final int CLIENTS = 98;
    private static final int BOOK_TIMEOUT_MILLIS = 1_200;
    private static final int BOOK_BUDGET_MILLIS = 2_500;
    private static final int LOAD_MILLIS = 35_000;
    private static final int CALM_MILLIS = 5_000;
    private static final int CALM_BOOKINGS = 10;
    private final Map<String, Integer> streams = new TreeMap<>();
    private final Map<String, Integer> bookings = new TreeMap<>();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private volatile boolean isOver;

    private LargeBodies(String record) throws Exception {
        super(record);
    }

    public static void main(String[] args) throws Exception {
        new LargeBodies(args[0]).run();
    }

    @Override
    boolean play() throws Exception {
        store.put("op", "config", Site.config(7).replace("\"timeout_ms\":600,\"target_latency_ms\":100",
            "\"timeout_ms\":" + BOOK_TIMEOUT_MILLIS + ",\"target_latency_ms\":150"));
        for (int i = 0; i < 4; i++) {
            Worker worker = new Worker("i-" + i, 6, 24, 43);
            store.put("servers", worker.id, Site.entry("desk", worker.server.address, zone(i), "v1", 6, "ready"));
        }
        for (int i = 0; i < 13; i++) {
            Worker worker = new Engine("m-" + i, 16, 30, 48, 100);
            store.put("servers", worker.id, Site.entry("llm", worker.server.address, zone(i), "v1", 16, "ready"));
        }
        startEntries(2);
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
        ExecutorService clients = Executors.newCachedThreadPool();
        AtomicInteger number = new AtomicInteger();
        timer.scheduleAtFixedRate(() -> {
            int n = number.incrementAndGet();
            clients.execute(() -> book(n));
        }, 0, 1_000_000 / 26, TimeUnit.MICROSECONDS);
        until(3_000);
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            clients.execute(() -> draft(client));
        }
        until(LOAD_MILLIS);
        isOver = true;
        timer.shutdownNow();
        clients.shutdown();
        clients.awaitTermination(25, TimeUnit.SECONDS);
        note("long requests: " + streams);
        note("bookings: " + bookings);
        Thread.sleep(CALM_MILLIS);
        int hung = 0;
        for (Entry entry : entries) {
            int answered = 0;
            for (int i = 0; i < CALM_BOOKINGS; i++) if (isBookedInCalm(entry, i)) answered++;
            if (CALM_BOOKINGS - answered >= 8) hung++;
            note(entry.name + ", " + CALM_MILLIS + " ms after the last long request: process "
                + (entry.process.isAlive() ? "alive" : "ended") + ", " + (entry.isReady() ? "ready" : "not ready") + ", "
                + answered + " of " + CALM_BOOKINGS + " bookings answered in time");
        }
        note("instances that answer no more, in calm: " + hung);
        note("lines with OutOfMemoryError in the logs of the instances: " + logged("OutOfMemoryError"));
        note("long requests that a sound worker wrote whole, and whose channel the instance closed: " + cut);
        note("bookings without an answer at their route's timeout of " + BOOK_TIMEOUT_MILLIS + " ms: " + late
            + ", of these still without one 0.5 s later: " + unanswered + " (eight, or a quarter, are allowed)");
        return hung == 0 && (unanswered.get() < 8 || unanswered.get() * 4 <= late.get());
    }

    private boolean isBookedInCalm(Entry entry, int i) {
        try (Client client = new Client(entry.front)) {
            String id = "calm-" + entry.name + "-" + i;
            String end = client.plain("POST", "/book/x", id, BOOK_TIMEOUT_MILLIS + 500, Client.body(id, 600));
            detail(id + ": " + end);
            return end.matches("[0-9]+");
        } catch (java.io.IOException e) {
            return false;
        }
    }

    private static String zone(int i) {
        return "ne-" + "ab".charAt(i % 2);
    }

    private void draft(int client) {
        for (int k = 0; !isOver; k++) {
            String id = "c" + client + "-" + k;
            long sent = Clock.millis();
            String end;
            try (Client channel = new Client(entries.get(client % 2).front)) {
                end = channel.stream("/draft/x", id, 12_000, 4_000,
                    trouble ? MAX_BODY_BYTES : USUAL_BODY_BYTES);
            } catch (java.io.IOException e) {
                end = "no channel";
            }
            if (end.equals("cut") && Engine.WRITTEN.contains(id)) cut.incrementAndGet();
            detail(id + " sent " + sent + " ms, ended " + Clock.millis() + " ms: " + end);
            synchronized (this) {
                streams.merge(end, 1, Integer::sum);
            }
            try {
                Thread.sleep(500);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void book(int n) {
        String id = "b" + n;
        long sent = Clock.millis();
        String end;
        try (Client client = new Client(entries.get(n % 2).front)) {
            end = client.plain("POST", "/book/x", id, BOOK_BUDGET_MILLIS, Client.body(id, 600));
        } catch (java.io.IOException e) {
            end = "no channel";
        }
        long took = Clock.millis() - sent;
        if (took > BOOK_TIMEOUT_MILLIS) late.incrementAndGet();
        if (took > BOOK_TIMEOUT_MILLIS + 500) unanswered.incrementAndGet();
        detail(id + " sent " + sent + " ms: " + end + " after " + took + " ms" + (Worker.RUNS.containsKey(id) ? ", ran" : ""));
        synchronized (this) {
            bookings.merge(end, 1, Integer::sum);
        }
    }
}
