package review;

import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The platform's cloud: accepts the calls of duties and notes what breaks the rule ONE. */
final class Cloud {
    final Http.Server server;
    final List<String> calls = new ArrayList<>();
    final List<String> faults = new ArrayList<>();
    private final Map<String, String> windows = new HashMap<>();
    private final Map<String, Long> tokens = new HashMap<>();
    private final Map<String, String> holders = new HashMap<>();

    Cloud() throws Exception {
        server = new Http.Server(this::handle);
    }

    private boolean handle(Http.Message request, Socket socket, OutputStream out) throws Exception {
        String body = new String(request.body, StandardCharsets.UTF_8);
        String holder = request.header("X-Berylpoint-Duty-Holder");
        long token = Long.parseLong(request.header("X-Berylpoint-Fence-Token"));
        synchronized (this) {
            Map<String, Object> json = Json.object(body);
            String subject = request.target() + " " + json.get("service") + " " + json.get("zone");
            calls.add(Clock.now() + " " + request.target() + " " + holder + " " + token + " " + body);
            Long before = tokens.get(subject);
            if (before != null && token < before) faults.add("token " + token + " after " + before + ": " + body);
            tokens.merge(subject, token, Math::max);
            String other = holders.putIfAbsent(subject + " " + token, holder);
            if (other != null && !other.equals(holder)) faults.add("token " + token + " of " + other + " and " + holder);
            if (json.get("window_index") != null) {
                String counts = Json.write(new java.util.TreeMap<>((Map<?, ?>) json.get("counts")));
                String known = windows.putIfAbsent("" + json.get("window_index"), counts);
                if (known != null && !known.equals(counts)) {
                    faults.add("window " + json.get("window_index") + ": " + known + ", then " + counts);
                }
            }
        }
        Http.send(out, 200, "", new byte[0]);
        return true;
    }
}
