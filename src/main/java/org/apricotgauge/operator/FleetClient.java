package org.apricotgauge.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.EOFException;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import org.apricotgauge.event.EventCodec;
import org.apricotgauge.event.EventPage;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Asks the administration API of many nodes at once.
 *
 * <pre>{@code
 * try (FleetClient client = FleetClient.start(2_000)) {
 *     List<NodeAnswer<NodeStatus>> answers = client.statuses(addresses, Optional.empty());
 * }
 * }</pre>
 *
 * <p>Threads, connections and the size of an answer are bounded. Every address gets an answer, in
 * the order asked; one that does not answer in time is {@link NodeAnswer.Silent}.
 */
public final class FleetClient implements AutoCloseable {
    private static final int MAX_THREADS = 8;
    private static final int MAX_IN_FLIGHT = 128;
    private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;
    private static final int OK = 200;
    private static final JsonMapper MAPPER =
            JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    private final HttpClient mClient;
    private final long mTimeoutMillis;

    private FleetClient(HttpClient client, long timeoutMillis) {
        mClient = client;
        mTimeoutMillis = timeoutMillis;
    }

    /**
     * Starts a client.
     *
     * @param timeoutMillis longest time for one node's answer
     * @throws IOException if it can't be started
     */
    public static FleetClient start(long timeoutMillis) throws IOException {
        Checks.inRange("timeoutMillis", timeoutMillis, 1, Integer.MAX_VALUE);
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(1));
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS);
        threads.setName("fleet-client");
        threads.setDaemon(true);
        client.setExecutor(threads);
        client.setConnectTimeout(timeoutMillis);
        client.setMaxConnectionsPerDestination(1);
        client.setFollowRedirects(false);
        try {
            client.start();
        } catch (Exception e) {
            throw new IOException("HTTP client: " + e.getMessage(), e);
        }
        return new FleetClient(client, timeoutMillis);
    }

    /** One node's part of a round: the path to ask it for. */
    public record Question(Address node, String path) {}

    /** Asks all nodes for their status, of one service if it is named. */
    public List<NodeAnswer<NodeStatus>> statuses(List<Address> nodes, Optional<String> service)
            throws InterruptedException {
        String path = "/v1/status" + service.map(id -> "?service=" + encoded(id)).orElse("");
        return ask(
                nodes.stream().map(node -> new Question(node, path)).toList(),
                FleetClient::readStatus);
    }

    /** Returns the question for a node's events after a number. */
    public static Question events(Address node, long since, int limit) {
        return new Question(node, "/v1/events?since=" + since + "&limit=" + limit);
    }

    /** Asks several nodes for their events. */
    public List<NodeAnswer<EventPage>> events(List<Question> questions)
            throws InterruptedException {
        return ask(questions, EventCodec::readPage);
    }

    private <T> List<NodeAnswer<T>> ask(List<Question> questions, Function<String, T> reader)
            throws InterruptedException {
        Semaphore inFlight = new Semaphore(MAX_IN_FLIGHT);
        List<CompletableFuture<NodeAnswer<T>>> answers = new ArrayList<>();
        for (Question question : questions) {
            inFlight.acquire();
            CompletableFuture<NodeAnswer<T>> answer = ask(question, reader);
            answer.whenComplete((value, error) -> inFlight.release());
            answers.add(answer);
        }
        return answers.stream().map(CompletableFuture::join).toList();
    }

    private <T> CompletableFuture<NodeAnswer<T>> ask(
            Question question, Function<String, T> reader) {
        CompletableFuture<NodeAnswer<T>> answer = new CompletableFuture<>();
        mClient.newRequest(URI.create("http://" + question.node() + question.path()))
                .timeout(mTimeoutMillis, TimeUnit.MILLISECONDS)
                .send(
                        new BufferingResponseListener(MAX_ANSWER_BYTES) {
                            @Override
                            public void onComplete(Result result) {
                                String body = getContentAsString(StandardCharsets.UTF_8);
                                answer.complete(read(question.node(), result, body, reader));
                            }
                        });
        return answer;
    }

    private static <T> NodeAnswer<T> read(
            Address node, Result result, String body, Function<String, T> reader) {
        if (result.isFailed()) {
            return new NodeAnswer.Silent<>(node, reason(result.getFailure()));
        }
        int status = result.getResponse().getStatus();
        if (status != OK) {
            String line = "status " + status + ": " + String.valueOf(body).strip();
            return new NodeAnswer.Silent<>(node, oneLine(line));
        }
        try {
            return new NodeAnswer.Answered<>(node, reader.apply(body));
        } catch (IllegalArgumentException e) {
            return new NodeAnswer.Silent<>(
                    node, oneLine("answer not understood: " + e.getMessage()));
        }
    }

    /** Jetty's messages for these two hold its whole inner state. */
    private static String reason(Throwable failure) {
        if (failure instanceof TimeoutException) {
            return "no answer in time";
        }
        if (failure instanceof EOFException) {
            return "connection closed before an answer";
        }
        String message = failure.getMessage();
        return oneLine(message == null ? failure.getClass().getSimpleName() : message);
    }

    private static String oneLine(String text) {
        return text.replaceAll("\\p{Cntrl}+", " ");
    }

    private static NodeStatus readStatus(String json) {
        try {
            return MAPPER.readValue(json, NodeStatus.class);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not a status: " + e.getOriginalMessage(), e);
        }
    }

    private static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        try {
            mClient.stop();
        } catch (Exception ignored) {
            // The program is about to end; its daemon threads end with it.
        }
    }
}
