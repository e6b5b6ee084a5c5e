import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the platform's store, upstreams, and the project's own
 * nodes as separate processes, started with the run line of the deploy file.
 *
 * <p>Machine n has the address 127.0.1.n. The stand-ins behave like a sound platform and sound
 * upstreams, except where a case says otherwise.
 */
final class Lab implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private final long startedNanos = System.nanoTime();
    private final PrintWriter record;
    private final Path work;
    private final List<Node> nodes = new ArrayList<>();
    private final List<AutoCloseable> parts = new ArrayList<>();
    final Map<String, String> settings = new TreeMap<>();
    final Store store;
    final int inboundPort;
    final int outboundPort;
    final int readyPort;
    final int appPort;
    final int newsPort;
    final int crashNewsPort;

    /** What a script does with its deployment. */
    interface Script {
        /** Returns {@link #HELD}, {@link #BROKEN} or {@link #COULD_NOT_RUN}. */
        int run(Lab lab, boolean trouble) throws Exception;
    }

    /** Runs a script and ends this process with its result. */
    static void run(Path recordFile, int machines, Script script) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = COULD_NOT_RUN;
        try (Lab lab = new Lab(recordFile, machines)) {
            try {
                result = script.run(lab, trouble);
            } catch (Exception e) {
                lab.note("the case could not run: %s", e);
            }
            lab.note("exit %d", result);
        } catch (IOException e) {
            System.err.println("the case could not run: " + e);
        }
        System.exit(result);
    }

    /** Creates the store and draws free ports for up to the given number of machines. */
    Lab(Path recordFile, int machines) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        work = Files.createTempDirectory("review");
        int[] ports = freePorts(machines, 6);
        inboundPort = ports[0];
        outboundPort = ports[1];
        readyPort = ports[2];
        appPort = ports[3];
        newsPort = ports[4];
        crashNewsPort = ports[5];
        store = new Store("127.0.1.200");
        parts.add(store);
        settings.put("bounds.floorShare", "0.7");
        settings.put("bounds.budgetRatio", "0.2");
        settings.put("bounds.budgetSlack", "62");
        settings.put("bounds.budgetWindowS", "10");
        settings.put("bounds.drainMs", "2000");
        settings.put("bounds.graceS", "6");
        settings.put("platform.heartbeatMs", "1500");
        settings.put("limits.cpuShare", "0.6");
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    static String ip(int machine) {
        return "127.0.1." + machine;
    }

    private static int[] freePorts(int machines, int count) throws IOException {
        for (int tries = 0; tries < 100; tries++) {
            int base = 21_000 + 10 * ThreadLocalRandom.current().nextInt(1_000);
            if (allFree(machines, base, count)) {
                int[] ports = new int[count];
                for (int i = 0; i < count; i++) {
                    ports[i] = base + i;
                }
                return ports;
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean allFree(int machines, int base, int count) {
        for (int machine = 1; machine <= machines; machine++) {
            for (int i = 0; i < count; i++) {
                try (ServerSocket probe = new ServerSocket()) {
                    probe.bind(new InetSocketAddress(ip(machine), base + i));
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Writes one line, with the seconds since the start, to the record. */
    synchronized void note(String format, Object... arguments) {
        double seconds = (System.nanoTime() - startedNanos) / 1e9;
        record.printf(Locale.ROOT, "%8.3f  %s%n", seconds, String.format(format, arguments));
    }

    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
    }

    /** Starts the node of a machine, with the run line of the deploy file. */
    Node startNode(int machine, String zone, String service) throws IOException {
        Map<String, String> values = new TreeMap<>(settings);
        values.put("zone", zone);
        values.put("service", service);
        values.put("ipAddress", ip(machine));
        values.put("listenAddresses.outbound", ip(machine) + ':' + outboundPort);
        values.put("listenAddresses.inbound", ip(machine) + ':' + inboundPort);
        values.put("listenAddresses.ready", ip(machine) + ':' + readyPort);
        values.put("platform.address", store.address());
        values.put("internalPorts.0", String.valueOf(newsPort));
        values.put("internalPorts.1", String.valueOf(crashNewsPort));
        Node node = new Node(machine, values);
        nodes.add(node);
        node.start();
        return node;
    }

    /** Waits until all nodes answer their readiness check with 200. */
    void awaitReady(long timeoutMillis) throws Exception {
        long until = millis() + timeoutMillis;
        for (Node node : nodes) {
            while (!node.isReady()) {
                if (millis() > until) {
                    throw new IOException("node of machine " + node.machine + " is not ready");
                }
                Thread.sleep(50);
            }
        }
        note("all %d nodes are ready", nodes.size());
    }

    Upstream startUpstream(int machine, String id, String zone, String service, int slots)
            throws IOException {
        Upstream upstream = new Upstream(ip(machine), appPort, id, zone, service, slots);
        parts.add(upstream);
        store.put("servers/" + id, upstream.entry("ready"));
        return upstream;
    }

    private void endProcesses() {
        nodes.forEach(Node::kill);
    }

    private void deleteWork() throws IOException {
        try (Stream<Path> files = Files.walk(work)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    @Override
    public void close() {
        endProcesses();
        parts.add(this::deleteWork);
        for (AutoCloseable part : parts) {
            try {
                part.close();
            } catch (Exception e) {
                note("cannot close a stand-in: %s", e);
            }
        }
        record.close();
    }

    /** One process of the project. */
    final class Node {
        final int machine;
        private final Map<String, String> values;
        private Process process;

        Node(int machine, Map<String, String> values) {
            this.machine = machine;
            this.values = values;
        }

        void start() throws IOException {
            String deploy = Files.readString(Path.of("deploy/system.toml"));
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
            if (!run.find()) {
                throw new IOException("no run line in the deploy file");
            }
            List<String> command = new ArrayList<>();
            for (String word : run.group(1).split(" ")) {
                command.add(filled(word));
            }
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            Path settingsFile = work.resolve("settings-" + machine + ".yaml");
            Files.writeString(settingsFile, "self:\n  ipAddress: \"" + ip(machine) + "\"\n");
            builder.environment().put("APRICOTGAUGE_CONFIG", settingsFile.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(
                            work.resolve("node-" + machine + ".log").toFile()));
            process = builder.start();
            note("node of machine %d started", machine);
        }

        private String filled(String word) {
            Matcher name = Pattern.compile("\\{\\{([^}]*)}}").matcher(word);
            return name.replaceAll(
                    one -> Matcher.quoteReplacement(values.getOrDefault(one.group(1), "")));
        }

        boolean isReady() {
            try {
                return Client.send(
                                        ip(machine),
                                        readyPort,
                                        "GET /apricotgauge/readiness HTTP/1.1\r\nHost: ready\r\n"
                                                + "Connection: close\r\n\r\n",
                                        2_000)
                                .status
                        == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void kill() {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** The platform's store: linearizable reads, watches, a history that is never forgotten. */
    static final class Store implements AutoCloseable {
        private record Event(String key, byte[] value, long revision) {
            String json(long createdAt) {
                if (value == null) {
                    return "{\"key\":\"" + key + "\",\"revision\":" + revision
                            + ",\"tombstone\":true}";
                }
                return "{\"key\":\"" + key + "\",\"value\":\""
                        + Base64.getEncoder().encodeToString(value) + "\",\"revision\":" + revision
                        + ",\"createdAt\":" + createdAt + ",\"lease\":0}";
            }
        }

        private final HttpServer server;
        private final TreeMap<String, Event> items = new TreeMap<>();
        private final Map<String, Long> createdAt = new TreeMap<>();
        private final List<Event> history = new ArrayList<>();
        private long revision = 1;

        Store(String host) throws IOException {
            server = HttpServer.create(new InetSocketAddress(host, 0), 128);
            server.setExecutor(
                    Executors.newCachedThreadPool(
                            work -> {
                                Thread thread = new Thread(work, "store");
                                thread.setDaemon(true);
                                return thread;
                            }));
            server.createContext("/apricotgauge/kv-range", this::range);
            server.createContext("/apricotgauge/kv-watch", this::watch);
            server.createContext("/apricotgauge/kv-key", this::key);
            server.start();
        }

        String address() {
            InetSocketAddress address = server.getAddress();
            return address.getAddress().getHostAddress() + ':' + address.getPort();
        }

        /** Writes an item; its return is the store's confirmation. */
        synchronized void put(String key, String value) {
            write(key, value.getBytes(StandardCharsets.UTF_8));
        }

        synchronized void remove(String key) {
            write(key, null);
        }

        private void write(String key, byte[] value) {
            Event event = new Event(key, value, ++revision);
            history.add(event);
            if (value == null) {
                items.remove(key);
                createdAt.remove(key);
            } else {
                items.put(key, event);
                createdAt.putIfAbsent(key, revision);
            }
            notifyAll();
        }

        private static Map<String, String> query(HttpExchange call) {
            Map<String, String> parameters = new TreeMap<>();
            URI uri = call.getRequestURI();
            if (uri.getRawQuery() == null) {
                return parameters;
            }
            for (String pair : uri.getRawQuery().split("&")) {
                int at = pair.indexOf('=');
                String name = at < 0 ? pair : pair.substring(0, at);
                String value = at < 0 ? "" : pair.substring(at + 1);
                parameters.put(name, URLDecoder.decode(value, StandardCharsets.UTF_8));
            }
            return parameters;
        }

        private void range(HttpExchange call) throws IOException {
            Map<String, String> query = query(call);
            String prefix = query.getOrDefault("pathPrefix", "");
            String after = query.getOrDefault("after", "");
            StringBuilder text = new StringBuilder("{\"items\":[");
            synchronized (this) {
                String separator = "";
                for (Event item : items.values()) {
                    if (item.key.startsWith(prefix) && item.key.compareTo(after) > 0) {
                        text.append(separator).append(item.json(createdAt.get(item.key)));
                        separator = ",";
                    }
                }
                text.append("],\"hasMore\":false,\"at\":").append(revision).append('}');
            }
            answer(call, 200, text.toString());
        }

        private void watch(HttpExchange call) throws IOException {
            Map<String, String> query = query(call);
            String prefix = query.getOrDefault("pathPrefix", "");
            long after = Long.parseLong(query.getOrDefault("after", "0"));
            long wait = Long.parseLong(query.getOrDefault("waitMs", "0"));
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(wait);
            String text;
            synchronized (this) {
                text = events(prefix, after);
                while (text == null) {
                    long left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
                    if (left <= 0) {
                        break;
                    }
                    try {
                        wait(left);
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                    text = events(prefix, after);
                }
                text = "{\"events\":[" + (text == null ? "" : text) + "],\"at\":" + revision + '}';
            }
            answer(call, 200, text);
        }

        private String events(String prefix, long after) {
            StringBuilder text = new StringBuilder();
            for (Event event : history) {
                if (event.revision > after && event.key.startsWith(prefix)) {
                    text.append(text.length() == 0 ? "" : ",");
                    text.append(event.json(createdAt.getOrDefault(event.key, event.revision)));
                }
            }
            return text.length() == 0 ? null : text.toString();
        }

        private void key(HttpExchange call) throws IOException {
            Event item;
            String text;
            synchronized (this) {
                item = items.get(query(call).getOrDefault("key", ""));
                text = item == null ? "{}" : item.json(createdAt.get(item.key));
            }
            answer(call, item == null ? 404 : 200, text);
        }

        private static void answer(HttpExchange call, int status, String text) throws IOException {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            call.getResponseHeaders().set("Content-Type", "application/json");
            call.sendResponseHeaders(status, bytes.length);
            try (OutputStream out = call.getResponseBody()) {
                out.write(bytes);
            }
        }

        @Override
        public void close() {
            server.stop(0);
        }
    }

    /** A message read from a connection. */
    static final class Message {
        String startLine;
        int status;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        /** Whether the body has come to its end as its framing says. */
        boolean whole;

        static Message read(InputStream in, boolean isAnswer) throws IOException {
            Message message = readHead(in, isAnswer);
            if (message != null) {
                message.readBody(in, isAnswer);
            }
            return message;
        }

        /** Reads a head and leaves the body unread; null at the end of the connection. */
        static Message readHead(InputStream in, boolean isAnswer) throws IOException {
            Message message = new Message();
            message.startLine = line(in);
            if (message.startLine == null) {
                return null;
            }
            for (String text = line(in); ; text = line(in)) {
                if (text == null) {
                    throw new EOFException("ended within the head");
                }
                if (text.isEmpty()) {
                    break;
                }
                int colon = text.indexOf(':');
                message.headers.put(text.substring(0, colon).strip(),
                        text.substring(colon + 1).strip());
            }
            if (isAnswer) {
                message.status = Integer.parseInt(message.startLine.split(" ")[1]);
                if (message.status < 200) {
                    return readHead(in, true);
                }
            }
            return message;
        }

        void readBody(InputStream in, boolean isAnswer) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            try {
                if ("chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
                    readChunks(in, bytes);
                    whole = true;
                } else if (headers.containsKey("Content-Length")) {
                    int length = Integer.parseInt(headers.get("Content-Length"));
                    copy(in, bytes, length);
                    whole = bytes.size() == length;
                } else if (isAnswer && status != 204 && status != 304) {
                    in.transferTo(bytes);
                    whole = true;
                } else {
                    whole = true;
                }
            } catch (IOException e) {
                whole = false;
            }
            body = bytes.toByteArray();
        }

        private static void readChunks(InputStream in, ByteArrayOutputStream out)
                throws IOException {
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new EOFException("ended within the chunks");
                }
                int length = Integer.parseInt(size.split(";")[0].strip(), 16);
                int before = out.size();
                copy(in, out, length);
                if (out.size() - before < length || line(in) == null) {
                    throw new EOFException("ended within a chunk");
                }
                if (length == 0) {
                    return;
                }
            }
        }

        private static void copy(InputStream in, ByteArrayOutputStream out, int length)
                throws IOException {
            byte[] buffer = new byte[8_192];
            int left = length;
            while (left > 0) {
                int count = in.read(buffer, 0, Math.min(left, buffer.length));
                if (count < 0) {
                    return;
                }
                out.write(buffer, 0, count);
                left -= count;
            }
        }

        private static String line(InputStream in) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            for (int one = in.read(); one != '\n'; one = in.read()) {
                if (one < 0) {
                    return null;
                }
                if (one != '\r') {
                    bytes.write(one);
                }
            }
            return bytes.toString(StandardCharsets.ISO_8859_1);
        }

        String id() {
            return headers.getOrDefault("X-Attempt-Id", "");
        }
    }

    /** Answers a request before its body has been read; null if it is run. */
    interface EarlyAnswer {
        String answer(Message head);
    }

    /** Answers a request that an upstream runs. */
    interface Work {
        void run(Message request, OutputStream out) throws Exception;
    }

    /** One upstream: a thread for each connection, one request at a time on each. */
    static final class Upstream implements AutoCloseable {
        private final ServerSocket listener = new ServerSocket();
        private final List<Socket> open = new ArrayList<>();
        private final String address;
        final String id;
        final String zone;
        final String service;
        final int slots;
        volatile EarlyAnswer early = head -> null;
        volatile Work work = (request, out) -> out.write(answer(request, 200, new byte[64]));
        final AtomicLong runs = new AtomicLong();

        Upstream(String host, int port, String id, String zone, String service, int slots)
                throws IOException {
            this.id = id;
            this.zone = zone;
            this.service = service;
            this.slots = slots;
            address = host + ':' + port;
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(host, port), 256);
            daemon("upstream " + id, this::accept);
        }

        String entry(String state) {
            return "{\"address\":\"" + address + "\",\"info\":{\"service\":\"" + service
                    + "\",\"version\":\"v1\",\"zone\":\"" + zone + "\",\"slots\":" + slots
                    + "},\"status\":{\"state\":\"" + state
                    + "\",\"sequence\":1,\"coldRemainingMs\":0}}";
        }

        private void accept() throws IOException {
            while (!listener.isClosed()) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                synchronized (open) {
                    open.add(socket);
                }
                daemon("upstream " + id, () -> serve(socket));
            }
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (Message request = Message.readHead(in, false);
                        request != null;
                        request = Message.readHead(in, false)) {
                    String answer = early.answer(request);
                    if (answer != null) {
                        out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
                        out.flush();
                    }
                    request.readBody(in, false);
                    if (answer == null) {
                        serve(request, out);
                    }
                }
            }
        }

        private void serve(Message request, OutputStream out) throws Exception {
            String expected = request.headers.get("X-Expected-Instance");
            if (expected != null && !expected.equals(id)) {
                out.write(
                        ("HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n"
                                        + "X-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
            } else if (request.startLine.startsWith("GET /health ")) {
                out.write(
                        ("HTTP/1.1 200 OK\r\nX-Instance-Id: " + id
                                        + "\r\nContent-Length: 0\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
            } else {
                runs.incrementAndGet();
                work.run(request, out);
            }
            out.flush();
        }

        /** Returns the head of an answer whose body has the given length. */
        byte[] head(Message request, int status, int length) {
            return ("HTTP/1.1 " + status + " Answer\r\nX-Attempt-Id: " + request.id()
                            + "\r\nX-Server-Signature: " + id + '.' + request.id()
                            + "\r\nContent-Length: " + length + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
        }

        byte[] answer(Message request, int status, byte[] body) {
            byte[] head = head(request, status, body.length);
            byte[] all = new byte[head.length + body.length];
            System.arraycopy(head, 0, all, 0, head.length);
            System.arraycopy(body, 0, all, head.length, body.length);
            return all;
        }

        @Override
        public void close() throws IOException {
            listener.close();
            synchronized (open) {
                for (Socket socket : open) {
                    socket.close();
                }
            }
        }
    }

    /** A requester. */
    static final class Client {

        private Client() {}

        /** Sends one request on a new connection and reads its answer; null if there is none. */
        static Message send(String host, int port, String request, int timeoutMillis)
                throws IOException {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(host, port), 1_000);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(timeoutMillis);
                socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
                Message answer =
                        Message.read(new BufferedInputStream(socket.getInputStream()), true);
                if (answer == null) {
                    throw new EOFException("no answer");
                }
                return answer;
            }
        }
    }

    /** Work that may fail. */
    interface Task {
        void run() throws Exception;
    }

    /** Runs a task on its own thread; a connection that ends in it is no failure of the case. */
    static Thread daemon(String name, Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                // Connections end at any time.
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Returns a configuration without tenants; routes are given as JSON texts. */
    static String configuration(int version, int base, String host, List<String> services,
            List<String> routes) {
        return configuration(version, base, host, services, routes, List.of());
    }

    /** Returns a configuration as the operator writes it; routes and tenants are JSON texts. */
    static String configuration(int version, int base, String host, List<String> services,
            List<String> routes, List<String> tenants) {
        Map<String, String> lines = new LinkedHashMap<>();
        for (String service : services) {
            lines.put(service, "{\"name\":\"" + service
                    + "\",\"healthPath\":\"/health\",\"maxConnections\":390,"
                    + "\"protocol\":\"h1\",\"tls\":false}");
        }
        return "{\"version\":\"r" + version + "\",\"services\":["
                + String.join(",", lines.values())
                + "],\"limits\":{\"headerBytes\":16384,\"bodyBytes\":67108864,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + (tenants.isEmpty() ? "" : "\"tenants\":[" + String.join(",", tenants) + "],")
                + "\"baseVersion\":\"r" + base
                + "\",\"hosts\":[{\"host\":\"" + host + "\",\"paths\":["
                + String.join(",", routes) + "]}]}";
    }

    static String tenant(String name, List<String> keys) {
        String texts = keys.isEmpty() ? "" : '"' + String.join("\",\"", keys) + '"';
        return "{\"name\":\"" + name + "\",\"apiKeys\":[" + texts
                + "],\"priority\":1,\"requestsPerS\":107,\"burst\":107}";
    }

    static String route(String name, String prefix, String service, String kind, int timeoutMs) {
        return "{\"name\":\"" + name + "\",\"pathPrefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":800,\"priority\":1,"
                + "\"service\":\"" + service + "\",\"maxAttempts\":2}";
    }
}
