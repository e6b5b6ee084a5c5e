import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The operator takes the keys away, one version after the other. Once no tenant has a key, nodes
 * let every request through, whatever key it has, and pass the key on to the upstream.
 */
final class CaseKeys {
    private static final String HOST = "proof.example";
    private static final String FIRST_KEY = "j3nr26tta828m82thhkm";
    private static final String SECOND_KEY = "gjqnirth5mgjy5rcpihh";

    /** No configuration holds this key at any time. */
    private static final String UNKNOWN_KEY = "zzzzzzzzzzzzzzzzzzzz";

    private static final int MACHINES = 4;
    private static final int ROUNDS = 20;

    private final Lab lab;
    private final AtomicLong ids = new AtomicLong();

    /** The key with which each request was sent; empty for none. */
    private final Map<String, String> keyOfRequest = new ConcurrentHashMap<>();

    private final Map<String, AtomicLong> counts = new ConcurrentSkipListMap<>();
    private volatile boolean allTakenAway;

    private CaseKeys(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) {
        Lab.run(Path.of(arguments[0]), MACHINES, (lab, trouble) -> new CaseKeys(lab).run(trouble));
    }

    private int run(boolean trouble) throws Exception {
        lab.settings.put("bounds.budgetSlack", "186");
        lab.settings.put("bounds.drainMs", "2500");
        lab.settings.put("bounds.quotaWindowS", "5");
        lab.settings.put("bounds.quotaOver", "0.25");
        lab.settings.put("bounds.quotaSlack", "20");
        configure(7, List.of(FIRST_KEY), List.of(SECOND_KEY));
        for (int machine = 1; machine <= MACHINES; machine++) {
            startMachine(machine);
        }
        lab.awaitReady(40_000);
        Thread.sleep(2_000);
        send("before", FIRST_KEY);
        send("before", SECOND_KEY);
        send("before", UNKNOWN_KEY);
        send("before", "");
        if (trouble) {
            configure(9, List.of(), List.of(SECOND_KEY));
            // The site takes keys away 1.5 s after each other.
            Thread.sleep(1_500);
            configure(11, List.of(), List.of());
        }
        // Longer than configApplyMs (2.5 s) and stabilityWindowMs (3 s).
        Thread.sleep(6_000);
        allTakenAway = trouble;
        send("after", FIRST_KEY);
        send("after", SECOND_KEY);
        send("after", UNKNOWN_KEY);
        send("after", "");
        counts.forEach((what, count) -> lab.note("%s: %d", what, count.get()));
        if (!counts.containsKey("before, first key: answered 200")) {
            return Lab.COULD_NOT_RUN;
        }
        boolean broken = counts.keySet().stream().anyMatch(what -> what.startsWith("BROKEN"));
        return broken ? Lab.BROKEN : Lab.HELD;
    }

    private void configure(int version, List<String> first, List<String> second) {
        String route =
                Lab.route("r-proofs", "/proofs/", "proofdesk", "non_idempotent", 3_000)
                        .replaceFirst("}$", ",\"publicAccess\":false}");
        lab.store.put(
                "op/config",
                Lab.configuration(
                        version,
                        version - 2,
                        HOST,
                        List.of("proofdesk", "designhall"),
                        List.of(route),
                        List.of(Lab.tenant("hanoi", first), Lab.tenant("saigon", second))));
        lab.note("the store confirms r%d: hanoi %s, saigon %s", version, first, second);
    }

    private void startMachine(int machine) throws IOException {
        String service = machine <= MACHINES / 2 ? "proofdesk" : "designhall";
        Lab.Upstream upstream = lab.startUpstream(machine, "i-" + machine, "vn-south-a", service, 4);
        upstream.work =
                (request, out) -> {
                    checkRun(request);
                    out.write(upstream.answer(request, 200, "a proof".getBytes()));
                };
        lab.startNode(machine, "vn-south-a", service);
    }

    private void checkRun(Lab.Message request) {
        String key = keyOfRequest.getOrDefault(request.id(), "");
        String tenant = request.headers.get("X-Tenant");
        String passedOn = request.headers.get("Authorization");
        lab.note(
                "an upstream runs %s, sent with the %s; X-Tenant %s, Authorization %s",
                request.id(), nameOf(key), tenant, passedOn);
        if (key.equals(UNKNOWN_KEY)) {
            count("BROKEN: run with a key that no configuration ever held");
        } else if (key.isEmpty()) {
            count("BROKEN: run without a key");
        } else if (allTakenAway) {
            count("BROKEN: run with a key that was taken away");
        }
        if (passedOn != null) {
            count("BROKEN: the key itself was passed on");
        }
    }

    private void send(String when, String key) throws Exception {
        for (int i = 0; i < ROUNDS; i++) {
            String id = String.format("%016x", ids.incrementAndGet());
            keyOfRequest.put(id, key);
            String authorization = key.isEmpty() ? "" : "Authorization: Bearer " + key + "\r\n";
            String request =
                    "POST /proofs/1 HTTP/1.1\r\nHost: " + HOST + "\r\nX-Attempt-Id: " + id + "\r\n"
                            + authorization
                            + "X-Timeout-Remaining: 3000\r\nContent-Length: 5\r\n"
                            + "Connection: close\r\n\r\nproof";
            Lab.Message answer =
                    Lab.Client.send(Lab.ip(1 + i % MACHINES), lab.outboundPort, request, 5_000);
            lab.note("requester sent %s with the %s, got %d", id, nameOf(key), answer.status);
            count(when + ", " + nameOf(key) + ": answered " + answer.status);
            Thread.sleep(15);
        }
    }

    private static String nameOf(String key) {
        return switch (key) {
            case FIRST_KEY -> "first key";
            case SECOND_KEY -> "second key";
            case UNKNOWN_KEY -> "unknown key";
            default -> "no key";
        };
    }

    private void count(String what) {
        counts.computeIfAbsent(what, key -> new AtomicLong()).incrementAndGet();
    }
}
