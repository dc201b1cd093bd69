package review;

import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What the stand-ins of a small deployment write to the store, with the figures of sites/mshikamano-book.toml. */
final class Site {
    static final String KEY = "i9n73hh2b9wu3fexd9dn";
    static final String HOST = "ficu95.example";
    static final String TENANT = "hule930";

    private Site() {
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    /** The config: a route of each kind, a service of model workers and one of plain workers. */
    static String config(long version) {
        List<Object> routes = new ArrayList<>();
        routes.add(map("name", "r-draft", "host", HOST, "prefix", "/draft/", "kind", "streaming", "timeout_ms", 12000,
            "target_latency_ms", 800, "priority", 1, "service", "llm", "attempts", 2, "public", false,
            "sticky", true, "resumable", true, "gap_aim_ms", 300));
        routes.add(map("name", "r-ask", "host", HOST, "prefix", "/ask/", "kind", "streaming", "timeout_ms", 10000,
            "target_latency_ms", 300, "priority", 0, "service", "llm", "attempts", 1, "public", false,
            "sticky", true, "resumable", false, "gap_aim_ms", 300));
        routes.add(map("name", "r-plan", "host", HOST, "prefix", "/plan/", "kind", "streaming", "timeout_ms", 12000,
            "target_latency_ms", 2500, "priority", 1, "service", "llm", "attempts", 1, "public", false,
            "sticky", true, "resumable", false, "gap_aim_ms", 800));
        routes.add(map("name", "r-book", "host", HOST, "prefix", "/book/", "kind", "non_idempotent", "timeout_ms", 600,
            "target_latency_ms", 100, "priority", 2, "service", "desk", "attempts", 1, "public", false));
        routes.add(map("name", "r-look", "host", HOST, "prefix", "/look/", "kind", "safe", "timeout_ms", 600,
            "target_latency_ms", 100, "priority", 2, "service", "desk", "attempts", 2, "public", false));
        List<Object> services = new ArrayList<>();
        services.add(map("name", "llm", "health_path", "/health", "max_conns", 310, "protocol", "h1", "tls", false,
            "cold_start_s", 3.0, "cold_per_s", 17.0, "engine", map("slots", 16, "kv_capacity", 653424,
                "kv_bytes", 327680, "stride", 8, "models", List.of(map("name", "m")))));
        services.add(map("name", "desk", "health_path", "/health", "max_conns", 110, "protocol", "h1", "tls", false,
            "cold_start_s", 0.0, "cold_per_s", 0.0));
        List<Object> tenants = List.of(map("name", TENANT, "api_keys", List.of(KEY), "priority", 1));
        return Json.write(map("version", version, "routes", routes, "services", services,
            "limits", map("max_header_bytes", 16384, "max_body_bytes", 4194304, "header_timeout_ms", 3000,
                "idle_timeout_ms", 15000),
            "tenants", tenants));
    }

    static String entry(String service, String address, String zone, String version, int slots, String state) {
        return Json.write(map("service", service, "address", address, "zone", zone, "version", version,
            "slots", slots, "state", state, "cold_remaining_ms", 0, "sequence", 4, "born",
            1_765_000_000_000L));
    }

    /** The cloud: it accepts every call. */
    static boolean cloud(Http.Message request, Socket socket, OutputStream out) throws Exception {
        Http.send(out, 200, "", new byte[0]);
        return true;
    }
}
