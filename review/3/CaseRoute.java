import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * The operator adds a route below an older one. The path that equals the new prefix without its
 * last slash still belongs to the older route, but is run by the new route's service.
 */
final class CaseRoute {
    private static final String HOST = "shop.example";
    private static final int MACHINES = 4;
    private static final int REQUESTS_BEFORE = 40;
    private static final int REQUESTS_AFTER = 80;

    private CaseRoute() {}

    public static void main(String[] arguments) {
        Lab.run(Path.of(arguments[0]), MACHINES, CaseRoute::run);
    }

    private static int run(Lab lab, boolean trouble) throws Exception {
        ConcurrentLinkedQueue<String> wrongRuns = new ConcurrentLinkedQueue<>();
        List<String> services = List.of("catalog", "orders");
        String older = Lab.route("r-shop", "/shop/", "catalog", "non_idempotent", 3_000);
        String newer = Lab.route("r-orders", "/shop/orders/", "orders", "non_idempotent", 3_000);
        lab.store.put("op/config", Lab.configuration(7, 5, HOST, services, List.of(older)));
        for (int machine = 1; machine <= MACHINES; machine++) {
            String service = machine <= 2 ? "catalog" : "orders";
            Lab.Upstream upstream =
                    lab.startUpstream(machine, "i-" + machine, "hall-" + machine, service, 3);
            upstream.work =
                    (request, out) -> {
                        lab.note("%s runs %s of %s", service, request.startLine, request.id());
                        if (service.equals("orders")
                                && request.startLine.equals("POST /shop/orders HTTP/1.1")) {
                            wrongRuns.add(request.id());
                        }
                        byte[] body = ("made by " + service).getBytes();
                        out.write(upstream.answer(request, 200, body));
                    };
            lab.startNode(machine, "hall-" + machine, service);
        }
        lab.awaitReady(40_000);
        Thread.sleep(2_000);
        int servedBefore = send(lab, "a", REQUESTS_BEFORE, "made by catalog");
        if (trouble) {
            lab.store.put(
                    "op/config", Lab.configuration(9, 7, HOST, services, List.of(older, newer)));
            lab.note("the store confirms version r9, which adds the route /shop/orders/");
        }
        // Longer than configApplyMs (2 s) and stabilityWindowMs (3 s).
        Thread.sleep(5_000);
        int servedAfter = send(lab, "b", REQUESTS_AFTER, "made by catalog");
        lab.note(
                "POST /shop/orders: %d of %d answered by its service before, %d of %d after;"
                        + " %d runs by a service to which no configuration sends it",
                servedBefore, REQUESTS_BEFORE, servedAfter, REQUESTS_AFTER, wrongRuns.size());
        if (servedBefore < REQUESTS_BEFORE / 2) {
            return Lab.COULD_NOT_RUN;
        }
        return wrongRuns.isEmpty() ? Lab.HELD : Lab.BROKEN;
    }

    private static int send(Lab lab, String series, int count, String expected) throws Exception {
        int asExpected = 0;
        for (int i = 0; i < count; i++) {
            String id = series + String.format("%015x", i);
            String request =
                    "POST /shop/orders HTTP/1.1\r\nHost: " + HOST + "\r\nX-Attempt-Id: " + id
                            + "\r\nX-Timeout-Remaining: 3000\r\nContent-Length: 5\r\n"
                            + "Connection: close\r\n\r\norder";
            Lab.Message answer =
                    Lab.Client.send(Lab.ip(1 + i % MACHINES), lab.outboundPort, request, 5_000);
            String body = new String(answer.body).strip();
            lab.note("requester sent %s, got %d \"%s\"", id, answer.status, body);
            if (answer.status == 200 && body.equals(expected)) {
                asExpected++;
            }
            Thread.sleep(20);
        }
        return asExpected;
    }
}
