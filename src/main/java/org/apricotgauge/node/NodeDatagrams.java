package org.apricotgauge.node;

import java.io.IOException;
import org.apricotgauge.model.Address;
import org.apricotgauge.time.Ticker;

/** The UDP port of a node, and the services that share it. */
final class NodeDatagrams implements AutoCloseable {
    private final QuarantineService mQuarantine;
    private final RateLimitService mRateLimits;
    private final StopNotices mStopNotices;
    private volatile DatagramPort mPort;

    NodeDatagrams(
            QuarantineService quarantine, RateLimitService rateLimits, StopNotices stopNotices) {
        mQuarantine = quarantine;
        mRateLimits = rateLimits;
        mStopNotices = stopNotices;
    }

    /**
     * Opens the port and lets the services send and receive.
     *
     * @throws IOException if the port can't be opened
     */
    void open(Address own, int guardPort, Ticker ticker) throws IOException {
        DatagramPort port = DatagramPort.open(own, "node datagrams", ticker);
        mPort = port;
        mQuarantine.start(own, new CrashMessageTransport(port));
        mRateLimits.start(own, port);
        mStopNotices.start(guardPort, port::send);
        port.listen(this::onDatagram);
    }

    private void onDatagram(Address from, byte[] bytes, int length) throws IOException {
        if (StopNoticeCodec.isStopNotice(bytes, length)) {
            mStopNotices.handle(from, StopNoticeCodec.decode(bytes, length));
        } else if (TokenMessageCodec.isTokenMessage(bytes, length)) {
            mRateLimits.handleMessage(from, TokenMessageCodec.decode(bytes, length));
        } else {
            mQuarantine.handleMessage(from, CrashMessageTransport.decode(bytes, length));
        }
    }

    void membersChanged(SiteMembers members) {
        mQuarantine.membersChanged(members);
        mRateLimits.membersChanged(members);
        mStopNotices.membersChanged(members);
    }

    @Override
    public void close() {
        DatagramPort port = mPort;
        if (port != null) {
            port.close();
        }
    }
}
