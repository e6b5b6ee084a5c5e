package org.apricotgauge.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apricotgauge.model.Address;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;

/** Switches a target stand-in and reads what it saw, over HTTP. */
final class TargetAdmin {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final int MAX_ANSWER_BYTES = 64 * 1024 * 1024;

    private final HttpClient mClient;

    TargetAdmin(HttpClient client) {
        mClient = client;
    }

    void setFault(Address target, Fault fault) throws IOException, InterruptedException {
        send(target, HttpMethod.PUT, "/standin/fault", JSON.writeValueAsString(fault));
    }

    TargetStandin.Stats stats(Address target) throws IOException, InterruptedException {
        String answer = send(target, HttpMethod.GET, "/standin/stats", null);
        return JSON.readValue(answer, TargetStandin.Stats.class);
    }

    /** Returns how often each request ran at the target, by the request's id. */
    Map<String, Integer> runs(Address target) throws IOException, InterruptedException {
        Map<String, Integer> runs = new HashMap<>();
        String lines = send(target, HttpMethod.GET, "/standin/runs", null);
        lines.lines()
                .map(line -> line.split(" ", 2))
                .forEach(words -> runs.put(words[0], Integer.parseInt(words[1])));
        return runs;
    }

    private String send(Address target, HttpMethod method, String path, String body)
            throws IOException, InterruptedException {
        org.eclipse.jetty.client.Request request =
                mClient.newRequest(target.host(), target.port())
                        .method(method)
                        .path(path)
                        .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        if (body != null) {
            request.body(new StringRequestContent("application/json", body));
        }
        try {
            ContentResponse response =
                    new org.eclipse.jetty.client.CompletableResponseListener(
                                    request, MAX_ANSWER_BYTES)
                            .send()
                            .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            return response.getContentAsString();
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("target stand-in " + target + " does not answer", e);
        }
    }
}
