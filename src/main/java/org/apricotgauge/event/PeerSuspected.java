package org.apricotgauge.event;

import org.apricotgauge.model.Checks;

/**
 * Another node is suspected to be dead or out of reach.
 *
 * @param peer id of its VM
 * @param evidence what decided it, in words
 */
public record PeerSuspected(String peer, String evidence) implements EventBody {

    /** Checks the parts. */
    public PeerSuspected {
        Checks.id("peer", peer);
        evidence = EventText.bounded("evidence", evidence);
    }
}
