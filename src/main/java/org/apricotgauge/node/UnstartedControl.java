package org.apricotgauge.node;

import java.util.concurrent.CompletableFuture;
import org.apricotgauge.model.SiteView;
import org.eclipse.jetty.http.HttpFields;

/** Stands for a node's control until it is started: nothing is known, and nothing may be done. */
final class UnstartedControl implements NodeControl {
    private static final byte[] NOTHING = {};

    @Override
    public CompletableFuture<Void> opened() {
        return new CompletableFuture<>();
    }

    @Override
    public boolean mayAct() {
        return false;
    }

    @Override
    public void announceLeaving() {}

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
    public boolean isCurrent() {
        return true;
    }

    @Override
    public SiteView siteView() {
        return SiteView.NONE;
    }

    @Override
    public long beforeHop(HttpFields.Mutable headers) {
        return 0;
    }

    @Override
    public void hopArrived(HttpFields headers) {}

    @Override
    public void beforeAcknowledgement(HttpFields.Mutable headers) {}

    @Override
    public void acknowledged(HttpFields headers, long askedMillis) {}

    @Override
    public CompletableFuture<byte[]> published(
            long afterRevision, long waitMillis, boolean compressed) {
        return CompletableFuture.completedFuture(NOTHING);
    }

    @Override
    public void close() {}
}
