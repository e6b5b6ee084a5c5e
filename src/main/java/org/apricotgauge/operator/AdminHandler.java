package org.apricotgauge.operator;

import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.apricotgauge.event.EventCodec;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** Answers the requests of the administration API. */
final class AdminHandler extends Handler.Abstract {
    static final int MAX_EVENTS = 500;
    static final int DEFAULT_EVENTS = 100;
    // At the costs that bin/measure-admin shows, the two stay under 3% of a core together.
    private static final int PAGES_PER_SECOND = 10;
    private static final int PAGES_BURST = 40;
    private static final int METRICS_PER_SECOND = 1;
    private static final int METRICS_BURST = 5;
    private static final String VERSION_PREFIX = "/v1";
    private static final String LIFT = "/quarantine/lift";
    private static final String READING = "GET, HEAD";
    private static final String CHANGING = "POST";
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .build()
                    .registerModule(
                            new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

    private final AdminSources mSources;
    private final Map<String, Endpoint> mEndpoints;

    AdminHandler(AdminSources sources, Set<String> readyPaths, Ticker ticker) {
        mSources = sources;
        RateBound pages = new RateBound(ticker, PAGES_PER_SECOND, PAGES_BURST);
        RateBound metrics = new RateBound(ticker, METRICS_PER_SECOND, METRICS_BURST);
        Map<String, Endpoint> endpoints = new HashMap<>();
        endpoints.put("/live", Endpoint.free(query -> AdminAnswer.line(200, "live")));
        endpoints.put("/ready", Endpoint.free(this::ready));
        endpoints.put("/status", new Endpoint(Set.of("service"), pages::tryTake, this::status));
        endpoints.put(
                "/events", new Endpoint(Set.of("since", "limit"), pages::tryTake, this::events));
        endpoints.put("/quarantine", new Endpoint(Set.of(), pages::tryTake, this::quarantine));
        endpoints.put(LIFT, new Endpoint(Set.of("fingerprint"), pages::tryTake, this::lift));
        endpoints.put("/allotments", new Endpoint(Set.of(), pages::tryTake, this::allotments));
        endpoints.put("/metrics", new Endpoint(Set.of(), metrics::tryTake, this::metrics));
        endpoints.put("/metrics.json", new Endpoint(Set.of(), metrics::tryTake, this::metricsJson));
        readyPaths.forEach(path -> endpoints.put(path, Endpoint.free(this::ready)));
        mEndpoints = Map.copyOf(endpoints);
    }

    /** A path: what it may be asked, whether it may be answered now, and its answer. */
    private record Endpoint(
            Set<String> parameters,
            BooleanSupplier admission,
            Function<AdminQuery, AdminAnswer> answer) {

        /** Liveness and readiness are cheap, and must not fail because a script asks for much. */
        static Endpoint free(Function<AdminQuery, AdminAnswer> answer) {
            return new Endpoint(Set.of(), () -> true, answer);
        }
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        AdminAnswer answer = answer(request, response);
        response.setStatus(answer.status());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, answer.contentType());
        response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
        Content.Sink.write(response, true, answer.body(), callback);
        return true;
    }

    private AdminAnswer answer(Request request, Response response) {
        Endpoint endpoint = mEndpoints.get(unversioned(Request.getPathInContext(request)));
        if (endpoint == null) {
            return AdminAnswer.line(
                    404,
                    "no such path; see /v1/status, /v1/events, /v1/quarantine, /v1/allotments,"
                            + " /v1/metrics");
        }
        String method = request.getMethod();
        boolean changes = endpoint == mEndpoints.get(LIFT);
        boolean reads = HttpMethod.GET.is(method) || HttpMethod.HEAD.is(method);
        if (changes ? !HttpMethod.POST.is(method) : !reads) {
            String allowed = changes ? CHANGING : READING;
            response.getHeaders().put(HttpHeader.ALLOW, allowed);
            return AdminAnswer.line(405, "allowed here: " + allowed);
        }
        if (!endpoint.admission().getAsBoolean()) {
            response.getHeaders().put(HttpHeader.RETRY_AFTER, "1");
            return AdminAnswer.line(429, "asked too often; retry in 1 s");
        }
        try {
            Fields fields = Request.extractQueryParameters(request);
            return endpoint.answer().apply(new AdminQuery(fields, endpoint.parameters()));
        } catch (IllegalArgumentException e) {
            return AdminAnswer.line(400, e.getMessage());
        }
    }

    private static String unversioned(String path) {
        return path.startsWith(VERSION_PREFIX + '/')
                ? path.substring(VERSION_PREFIX.length())
                : path;
    }

    private AdminAnswer ready(AdminQuery query) {
        Readiness readiness = mSources.readiness().read();
        return AdminAnswer.line(readiness.isReady() ? 200 : 503, readiness.reason());
    }

    private AdminAnswer status(AdminQuery query) {
        NodeStatus status = mSources.status().read();
        Optional<String> service = Optional.ofNullable(query.text("service"));
        return AdminAnswer.json(json(status.narrowed(service)));
    }

    private AdminAnswer events(AdminQuery query) {
        long since = query.number("since", 0, 0, Long.MAX_VALUE);
        int limit = (int) query.number("limit", DEFAULT_EVENTS, 1, MAX_EVENTS);
        return AdminAnswer.json(EventCodec.write(mSources.events().read(since, limit)));
    }

    private AdminAnswer quarantine(AdminQuery query) {
        return AdminAnswer.json(json(mSources.quarantine().read()));
    }

    private AdminAnswer allotments(AdminQuery query) {
        return AdminAnswer.json(json(mSources.allotments().read()));
    }

    private AdminAnswer lift(AdminQuery query) {
        String fingerprint = query.text("fingerprint");
        if (fingerprint == null) {
            throw new IllegalArgumentException("fingerprint must be given; see /v1/quarantine");
        }
        return mSources.quarantine().lift(fingerprint)
                ? AdminAnswer.line(200, "lifted; other nodes hear of it within seconds")
                : AdminAnswer.line(404, "nothing is held against " + fingerprint);
    }

    private AdminAnswer metrics(AdminQuery query) {
        String text = PrometheusText.write(mSources.metrics());
        return new AdminAnswer(200, AdminAnswer.PROMETHEUS, text);
    }

    private AdminAnswer metricsJson(AdminQuery query) {
        return AdminAnswer.json(json(mSources.metrics()));
    }

    private static String json(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("not written as JSON: " + e.getMessage(), e);
        }
    }
}
