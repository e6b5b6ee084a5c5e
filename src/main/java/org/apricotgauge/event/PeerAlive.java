package org.apricotgauge.event;

import org.apricotgauge.model.Checks;

/**
 * A suspected node was heard of again.
 *
 * @param peer id of its VM
 * @param evidence what decided it, in words
 */
public record PeerAlive(String peer, String evidence) implements EventBody {

    /** Checks the parts. */
    public PeerAlive {
        Checks.id("peer", peer);
        evidence = EventText.bounded("evidence", evidence);
    }
}
