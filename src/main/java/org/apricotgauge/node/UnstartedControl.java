package org.apricotgauge.node;

import java.util.concurrent.CompletableFuture;
import org.apricotgauge.model.ChangesRequest;
import org.apricotgauge.model.SiteView;
import org.eclipse.jetty.http.HttpFields;

/** The control of a node until the real one is started; it has no state to act on. */
final class UnstartedControl implements NodeControl {
    private static final byte[] EMPTY_PAGE = {};

    @Override
    public CompletableFuture<Void> ready() {
        return new CompletableFuture<>();
    }

    @Override
    public boolean mayAct() {
        return false;
    }

    @Override
    public void publishEvidence(String key, long sequence, long lifetimeMillis, byte[] payload) {}

    @Override
    public void tick() {}

    @Override
    public int peerPort() {
        return 0;
    }

    @Override
    public Mark mark() {
        return new Mark("", "", 0);
    }

    @Override
    public boolean isSiteViewFresh() {
        return true;
    }

    @Override
    public SiteView siteView() {
        return SiteView.NONE;
    }

    @Override
    public long addHopHeaders(HttpFields.Mutable headers) {
        return 0;
    }

    @Override
    public void handleHopHeaders(HttpFields headers) {}

    @Override
    public void addAcknowledgementHeaders(HttpFields.Mutable headers) {}

    @Override
    public void handleAcknowledgement(HttpFields headers, long requestedAtMillis) {}

    @Override
    public CompletableFuture<byte[]> changesFor(ChangesRequest request) {
        return CompletableFuture.completedFuture(EMPTY_PAGE);
    }

    @Override
    public void close() {}
}
