import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A request that crashes its workers comes again and again, while all machines are stopped and started in turn. */
final class Deadly {
    private static final int MACHINES = 8, WORKERS = 6, CONTACT_MS = 3_000, TIMEOUT_MS = 1_200, GAP_MS = 1_500, BOOKERS = 60;
    private static final byte[] DEADLY = "{\"seat\":\"deadly\"}".getBytes();

    private static final class Crash {
        final double at;
        final String id;

        Crash(double at, String id) {
            this.at = at;
            this.id = id;
        }

        /** Number of the deadly request, from which the machine follows that sent it. */
        int number() {
            return Integer.parseInt(id.substring(1));
        }
    }

    public static void main(String[] args) {
        Rig.run(args, Deadly::run);
    }

    private static boolean run(Rig rig) throws Exception {
        rig.store.put("op", "config", Rig.config(1, Rig.route("book", "non_idempotent", TIMEOUT_MS, 150, "app", 1, false),
            Rig.service("app"), "\"" + Rig.KEY + "\""));
        List<Crash> crashes = Collections.synchronizedList(new ArrayList<>());
        AtomicInteger incarnations = new AtomicInteger();
        Worker.Job[] job = new Worker.Job[1];
        job[0] = (worker, request, answer) -> {
            if (!new String(request.body).equals(new String(DEADLY))) {
                Thread.sleep(80);
                answer.whole(200, "booked " + request.id);
                return;
            }
            crashes.add(new Crash(rig.record.seconds(), request.id));
            rig.record.say("%s runs %s and crashes", worker.id, request.id);
            worker.close();
            Worker.daemon(() -> comeBack(rig, worker, incarnations, job[0]));
        };
        String[] zones = {"zone-a", "zone-b", "zone-c", "zone-d"};
        for (int i = 0; i < WORKERS; i++) rig.addWorker("w" + i, "app", "v1", zones[i % 4], 6, job[0]);
        for (int i = 0; i < MACHINES; i++) rig.addInstance("front-" + i, zones[i % 4]);
        rig.startAll();
        double[] inTouchFrom = new double[MACHINES];
        double[] termAt = new double[MACHINES];
        for (int i = 0; i < MACHINES; i++) {
            inTouchFrom[i] = rig.record.seconds() + CONTACT_MS / 1e3;
            termAt[i] = Double.MAX_VALUE;
        }
        Thread.sleep(CONTACT_MS + 500);
        // Machine of each deadly request, and whether it was in touch when it got the request.
        List<Integer> machineOf = Collections.synchronizedList(new ArrayList<>());
        List<Boolean> wasInTouch = Collections.synchronizedList(new ArrayList<>());
        boolean[] isOver = {false};
        AtomicInteger ids = new AtomicInteger();
        List<Double> lost = Collections.synchronizedList(new ArrayList<>());
        List<Thread> threads = new ArrayList<>();
        // Ordinary bookings go to all machines, and the deadly one every half second to the next machine.
        for (int c = 0; c < BOOKERS; c++) threads.add(Worker.daemon(() -> {
            try {
                while (!isOver[0]) {
                    int n = ids.incrementAndGet();
                    Instance instance = rig.instances.get(n % MACHINES);
                    Client.Result result = Client.once(instance.address(), Rig.request("POST", "/book/" + n, "b" + n, TIMEOUT_MS, ""),
                        ("{\"seat\":" + n + "}").getBytes(), TIMEOUT_MS + 500);
                    rig.record.line("b%d to %s: %s", n, instance.name, result);
                    if (result.status == 502) lost.add(rig.record.seconds());
                    Thread.sleep(1_000);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }));
        threads.add(Worker.daemon(() -> {
            try {
                for (int n = 0; !isOver[0]; n++) {
                    int i = n % MACHINES;
                    Instance instance = rig.instances.get(i);
                    // The deadly request goes to machines in touch only, so that each of its runs counts.
                    double now = rig.record.seconds();
                    machineOf.add(i);
                    wasInTouch.add(now >= inTouchFrom[i] && now < termAt[i]);
                    if (wasInTouch.get(n) && instance.isReady()) {
                        Client.Result result = Client.once(instance.address(), Rig.request("POST", "/book/deadly", "d" + n, TIMEOUT_MS, ""),
                            DEADLY, TIMEOUT_MS + 500);
                        rig.record.line("d%d to %s: %s", n, instance.name, result);
                    }
                    Thread.sleep(500);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }));
        Thread.sleep(8_000);
        if (rig.isTroubled) {
            for (int i = 0; i < MACHINES; i++) {
                Instance instance = rig.instances.get(i);
                termAt[i] = rig.record.seconds();
                instance.terminate();
                instance.process.waitFor();
                rig.record.say("process %s has ended", instance.name);
                Thread.sleep(300);
                instance.start();
                if (!instance.awaitReady(20_000)) throw new IllegalStateException("not ready");
                inTouchFrom[i] = rig.record.seconds() + CONTACT_MS / 1e3;
                termAt[i] = Double.MAX_VALUE;
                rig.record.say("process %s is ready again", instance.name);
                Thread.sleep(GAP_MS);
            }
        } else {
            Thread.sleep(50_000);
        }
        Thread.sleep(4_000);
        isOver[0] = true;
        for (Thread thread : threads) thread.join();
        rig.record.say("%d crashes", crashes.size());
        if (crashes.size() < 3) return false;
        double third = crashes.get(2).at;
        int counted = 0, lostLater = 0;
        for (double at : lost) if (at > third + CONTACT_MS / 1e3) lostLater++;
        for (Crash crash : crashes) {
            if (crash.at <= third + CONTACT_MS / 1e3) continue;
            boolean isInTouch = wasInTouch.get(crash.number());
            rig.record.say("%s at %.3f was sent by %s, %s", crash.id, crash.at,
                rig.instances.get(machineOf.get(crash.number())).name, isInTouch ? "in touch" : "not in touch");
            if (isInTouch) counted++;
        }
        rig.record.say("%d retries reached workers later than %d ms after the third crash (at %.3f), sent by machines in touch", counted, CONTACT_MS, third);
        rig.record.say("%d accepted bookings of others ended with 502 after that, as their worker crashed", lostLater);
        return counted > 3;
    }

    /** A crashed worker is back after two seconds, under another id and at another address. */
    private static void comeBack(Rig rig, Worker crashed, AtomicInteger incarnations, Worker.Job job) {
        try {
            Thread.sleep(2_000);
            rig.store.remove("servers", crashed.id);
            String id = crashed.id.split("-")[0] + "-" + incarnations.incrementAndGet();
            rig.addWorker(id, crashed.service, crashed.version, crashed.zone, crashed.slots, job);
        } catch (Exception e) {
            rig.record.say("a worker did not come back: %s", e);
        }
    }
}
