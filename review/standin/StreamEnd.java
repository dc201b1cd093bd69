import java.util.ArrayList;
import java.util.List;

/** A machine is stopped by SIGTERM while streams run that last beyond its grace; none may look complete too early. */
final class StreamEnd {
    private static final int EVENTS = 80, GAP_MS = 100, BUDGET_MS = 12_000;

    public static void main(String[] args) {
        Rig.run(args, StreamEnd::run);
    }

    private static boolean run(Rig rig) throws Exception {
        rig.store.put("op", "config", Rig.config(1, Rig.route("report", "streaming", BUDGET_MS, 1_000, "llm", 2, true)
            + "," + Rig.route("chat", "streaming", BUDGET_MS, 1_000, "llm", 1, false), Rig.service("llm"), "\"" + Rig.KEY + "\""));
        Worker.Job job = (worker, request, answer) -> {
            rig.record.line("worker %s runs %s", worker.id, request.id);
            answer.startStream();
            for (int i = 1; i <= EVENTS; i++) {
                answer.event(i, "piece " + i + " of " + EVENTS);
                Thread.sleep(GAP_MS);
            }
            answer.endStream();
            rig.record.line("worker %s has sent all %d pieces of %s", worker.id, EVENTS, request.id);
        };
        for (int i = 0; i < 2; i++) rig.addWorker("w-" + i, "llm", "v1", "zone-a", 64, job);
        rig.addInstance("front-0", "zone-a");
        rig.addInstance("front-1", "zone-a");
        rig.startAll();
        Thread.sleep(4_000);
        Instance stopped = rig.instances.get(0);
        List<Client> channels = new ArrayList<>();
        for (int i = 0; i < 6; i++) channels.add(new Client(stopped.address()));
        if (rig.isTroubled) stopped.terminate();
        Thread.sleep(1_000);
        List<Client.Result> results = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < channels.size(); i++) {
            results.add(null);
            int n = i;
            threads.add(Worker.daemon(() -> {
                try {
                    String id = "s" + n, route = n % 2 == 0 ? "report" : "chat";
                    Thread.sleep(n * 200L);
                    rig.record.say("client sends %s on a channel that it keeps", id);
                    Client.Result result = channels.get(n).send(Rig.request("POST", "/" + route + "/" + id, id, BUDGET_MS, ""),
                        "{}".getBytes(), BUDGET_MS + 1_000);
                    results.set(n, result);
                    rig.record.say("%s: %s, %d of %d pieces, Connection: %s", id, result, result.events(), EVENTS,
                        result.head == null ? null : result.head.header("Connection"));
                } catch (Exception e) {
                    rig.record.say("%d: %s", n, e);
                }
            }));
        }
        for (Thread thread : threads) thread.join();
        int early = 0;
        for (Client.Result result : results) {
            if (result != null && result.status == 200 && result.end == Client.End.COMPLETE && result.events() < EVENTS) early++;
        }
        rig.record.say("%d of %d streams end as complete before their last piece", early, results.size());
        return early > 0;
    }
}
