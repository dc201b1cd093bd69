import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A machine is stopped by SIGTERM while its streams run at two workers that are full. One worker preempts its streams
 * for a moment and goes on with them; each stream has to come to its end.
 */
final class SilentWorker {
    private static final int SLOTS = 8, EVENTS = 40, GAP_MS = 100, SILENCE_MS = 1_600, BUDGET_MS = 12_000;

    public static void main(String[] args) {
        Rig.run(args, SilentWorker::run);
    }

    private static boolean run(Rig rig) throws Exception {
        rig.store.put("op", "config", Rig.config(1, Rig.route("report", "streaming", BUDGET_MS, 1_000, "llm", 2, true),
            Rig.service("llm"), "\"" + Rig.KEY + "\""));
        AtomicInteger running = new AtomicInteger();
        Worker.Job job = (worker, request, answer) -> {
            String last = request.head.header("Last-Event-Id");
            int from = last == null ? 1 : Integer.parseInt(last.trim()) + 1;
            rig.record.line("%s runs %s from piece %d", worker.id, request.id, from);
            running.incrementAndGet();
            try {
                answer.startStream();
                for (int i = from; i <= EVENTS; i++) {
                    if (rig.isTroubled && worker.id.equals("w0") && last == null && i == EVENTS / 2) {
                        rig.record.line("%s preempts %s for %d ms", worker.id, request.id, SILENCE_MS);
                        Thread.sleep(SILENCE_MS);
                        rig.record.line("%s goes on with %s", worker.id, request.id);
                    }
                    answer.event(i, "piece " + i);
                    Thread.sleep(GAP_MS);
                }
                answer.endStream();
                rig.record.line("%s has sent all pieces of %s", worker.id, request.id);
            } catch (java.io.IOException e) {
                rig.record.line("%s: the channel of %s was closed by the machine", worker.id, request.id);
                throw e;
            } finally {
                running.decrementAndGet();
            }
        };
        for (int i = 0; i < 2; i++) rig.addWorker("w" + i, "llm", "v1", "zone-a", SLOTS, job);
        rig.addInstance("front-0", "zone-a");
        rig.addInstance("front-1", "zone-a");
        rig.startAll();
        Thread.sleep(4_000);
        Instance stopped = rig.instances.get(0);
        List<Client.Result> results = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int n = 0; n < 2 * SLOTS; n++) {
            results.add(null);
            int number = n;
            Client channel = new Client(stopped.address());
            threads.add(Worker.daemon(() -> {
                try {
                    String id = "s" + number;
                    rig.record.line("client sends %s on a channel that it keeps", id);
                    Client.Result result = channel.send(Rig.request("POST", "/report/" + id, id, BUDGET_MS, ""),
                        ("{\"n\":" + number + "}").getBytes(), BUDGET_MS + 500);
                    results.set(number, result);
                    rig.record.say("%s: %s, %d of %d pieces", id, result, result.events(), EVENTS);
                } catch (Exception e) {
                    rig.record.say("%d: %s", number, e);
                }
            }));
            Thread.sleep(20);
        }
        Thread.sleep(500);
        rig.record.say("%d streams run at two workers of %d slots", running.get(), SLOTS);
        stopped.terminate();
        for (Thread thread : threads) thread.join();
        int lost = 0, whole = 0;
        long latest = 0;
        for (Client.Result result : results) {
            if (result == null) continue;
            if (result.status == 200 && result.events() == EVENTS) whole++;
            else if (result.status == 200 || result.end == Client.End.NO_ANSWER) {
                lost++;
                latest = Math.max(latest, result.millis);
            }
        }
        rig.record.say("%d of %d streams came to their end; the channels of %d ended without a complete answer, within %d ms of a time budget of %d ms",
            whole, results.size(), lost, latest, BUDGET_MS);
        return lost > 0;
    }
}
