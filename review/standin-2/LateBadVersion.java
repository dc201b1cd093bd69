package review;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A version turns bad in the last sixth of the time that the operator has set for its roll-out. */
final class LateBadVersion extends Case {
    private static final double EXPOSE_SHARE = 0.1;
    private static final int EXPOSE_SLACK = 50;
    private static final int ROLLBACK_MILLIS = 5_000;
    private static final int ROLLOUT_SECONDS = 12;
    private static final int ORDER_MILLIS = 2_000;
    /** When the version turns bad, two seconds before its time is over. */
    private static final int BAD_MILLIS = ORDER_MILLIS + 10_000;
    private static final double BAD_SHARE = 0.6;
    private static final int END_MILLIS = ORDER_MILLIS + 22_000;
    private final Random random = new Random(46);
    private final Map<String, long[]> sent = new ConcurrentHashMap<>();
    private final List<Long> badAnswers = new ArrayList<>();
    private final List<String> atNewVersion = new ArrayList<>();
    private final List<Worker> oldWorkers = new ArrayList<>();
    private final Map<String, Integer> answers = new java.util.TreeMap<>();

    private LateBadVersion(String record) throws Exception {
        super(record);
    }

    public static void main(String[] args) throws Exception {
        new LateBadVersion(args[0]).run();
    }

    /** A worker of the new version: from a moment on a share of its answers are failures. */
    private final class NewWorker extends Worker {
        NewWorker(String id) throws Exception {
            super(id, 6, 24, 60);
        }

        @Override
        boolean run(Http.Message request, String echo, OutputStream out) throws Exception {
            boolean isBad;
            synchronized (badAnswers) {
                atNewVersion.add(request.header("X-Berylpoint-Request-Id"));
                isBad = trouble && Clock.millis() >= BAD_MILLIS && random.nextDouble() < BAD_SHARE;
            }
            if (!isBad) return super.run(request, echo, out);
            Thread.sleep(60);
            synchronized (badAnswers) {
                badAnswers.add(Clock.millis());
            }
            Http.send(out, 500, echo + "X-Berylpoint-Response-Seal: 3e1b.07\r\n", new byte[10]);
            return true;
        }
    }

    @Override
    boolean play() throws Exception {
        store.put("op", "config", Site.config(7));
        for (int i = 0; i < 4; i++) {
            Worker worker = new Worker("old-" + i, 6, 24, 60);
            oldWorkers.add(worker);
            store.put("servers", worker.id, entry(worker, i, "v1", "ready"));
        }
        startEntries(4);
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
        ExecutorService clients = Executors.newCachedThreadPool();
        AtomicInteger number = new AtomicInteger();
        timer.scheduleAtFixedRate(() -> {
            int n = number.incrementAndGet();
            clients.execute(() -> ask(n));
        }, 0, 1_000_000 / 105, TimeUnit.MICROSECONDS);
        until(ORDER_MILLIS);
        store.put("op", "rollout/desk", "{\"service\":\"desk\",\"to\":\"v2\",\"duration_s\":" + ROLLOUT_SECONDS + "}");
        note("the roll-out to v2 is ordered");
        List<Worker> newWorkers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Worker worker = new NewWorker("new-" + i);
            newWorkers.add(worker);
            store.put("servers", worker.id, entry(worker, i, "v2", "ready"));
        }
        String state = "";
        while (Clock.millis() < END_MILLIS) {
            Thread.sleep(10);
            String row = store.get("status", "rollout/desk");
            if (row == null || state.equals(Json.object(row).get("state"))) continue;
            state = (String) Json.object(row).get("state");
            note("status/rollout/desk: " + row);
            // At `completed` the old workers stop at once.
            if (state.equals("completed")) {
                for (Worker worker : oldWorkers) {
                    worker.server.close();
                    store.drop("servers", worker.id);
                }
            }
        }
        timer.shutdownNow();
        clients.shutdown();
        clients.awaitTermination(5, TimeUnit.SECONDS);
        return judge();
    }

    private static String entry(Worker worker, int i, String version, String state) {
        return Site.entry("desk", worker.server.address, "ne-" + "abcd".charAt(i), version, 6, state);
    }

    private boolean judge() {
        synchronized (badAnswers) {
            int all = 0;
            int atNew = 0;
            long end = ORDER_MILLIS + ROLLOUT_SECONDS * 1_000L;
            for (String id : Worker.RUNS.keySet()) if (sent.get(id)[0] >= ORDER_MILLIS && sent.get(id)[0] < end) all++;
            for (String id : atNewVersion) if (sent.get(id)[0] < end) atNew++;
            int allowed = (int) (all * EXPOSE_SHARE) + EXPOSE_SLACK;
            note("answers to clients after the version turned bad: " + answers + "; its failures: " + badAnswers.size());
            if (badAnswers.size() >= 50) {
                long limit = badAnswers.get(49) + ROLLBACK_MILLIS;
                long late = atNewVersion.stream().filter(id -> sent.get(id)[0] > limit).count();
                note("the 50th bad answer came at " + badAnswers.get(49) + " ms; requests sent later than "
                    + ROLLBACK_MILLIS + " ms after it that reached the version: " + late);
            }
            note("requests that reached the service between the order and the end of its time: " + all
                + ", of these the new version: " + atNew + "; a bad one may get " + allowed);
            return badAnswers.isEmpty() || atNew <= allowed;
        }
    }

    private void ask(int n) {
        String id = "r" + n;
        int at = n % 4;
        sent.put(id, new long[] {Clock.millis(), at});
        try (Client client = new Client(entries.get(at).front)) {
            String end = n % 7 < 2 ? client.plain("GET", "/look/" + n, id, 3_000, new byte[0])
                : client.plain("POST", "/book/x", id, 3_000, Client.body(id, 600));
            if (Clock.millis() >= BAD_MILLIS) {
                synchronized (answers) {
                    answers.merge(end, 1, Integer::sum);
                }
            }
            detail(id + " sent " + sent.get(id)[0] + " ms to " + entries.get(at).name + ": " + end);
        } catch (java.io.IOException e) {
            detail(id + " to " + entries.get(at).name + ": no channel");
        }
    }
}
