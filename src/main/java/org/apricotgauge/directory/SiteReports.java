package org.apricotgauge.directory;

import java.util.function.BooleanSupplier;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.SiteView;
import org.apricotgauge.model.StorePosition;
import org.apricotgauge.time.Ticker;

/**
 * What a node and its peers tell each other about their views of the site, on each hop.
 *
 * <pre>{@code
 * reports.hint(positionOfPeer, peer);
 * SiteView view = reports.reportedView();      // for the acknowledgement
 * }</pre>
 *
 * <p>All methods are cheap and thread-safe.
 */
public final class SiteReports {
    private final Parts mParts;

    /**
     * The dependencies of reports.
     *
     * @param site the items and lost writes of this node
     * @param viewAge the age of its view
     * @param hints takes what peers tell
     * @param eras finds the era of a position that was told without one
     * @param ticker monotonic clock
     * @param isReady whether a configuration is known and confirmed
     */
    record Parts(
            SiteState site,
            ViewAgeTracker viewAge,
            PeerHints hints,
            EraResolver eras,
            Ticker ticker,
            BooleanSupplier isReady) {}

    SiteReports(Parts parts) {
        mParts = Checks.notNull("parts", parts);
    }

    /** Returns whether the view may be acted on: it exists, and was confirmed since a pause. */
    boolean mayAct() {
        return mParts.isReady().getAsBoolean() && mParts.viewAge().mayAct();
    }

    /** Records the newest position that a peer has. */
    public void hint(StorePosition newest, Address peer) {
        boolean needsPeer = !mParts.isReady().getAsBoolean();
        mParts.hints()
                .hint(mParts.eras().resolve(newest), peer, mParts.ticker().millis(), needsPeer);
    }

    /** Records the digest of the writes that a peer knows and the platform lost. */
    public void hintLostWrites(long digest, Address peer) {
        if (digest != lostWritesDigest()) {
            mParts.hints().hintLostWrites(digest, peer);
        }
    }

    /** Returns the digest of the writes that this node knows and the platform lost; 0 for none. */
    public long lostWritesDigest() {
        return mParts.site().lostWrites().digest();
    }

    /** Returns the number of writes that this node knows and the platform lost. */
    public int lostWriteCount() {
        return mParts.site().lostWrites().count();
    }

    /** Returns how many restores of the platform's store this node has read. */
    public long restoreCount() {
        return mParts.site().restoreCount();
    }

    /** Returns the present time for {@link #recordPeerView}. */
    public long elapsedMillis() {
        return mParts.viewAge().elapsedMillis();
    }

    /**
     * Records the view that a peer reported in an answer to this node.
     *
     * @param reported the peer's view
     * @param requestedAtMillis when this node sent its request, by {@link #elapsedMillis}; the
     *     answer may have been in transit ever since
     */
    public void recordPeerView(SiteView reported, long requestedAtMillis) {
        // After a pause of this process the answer may have been buffered for as long as the pause.
        if (!mayAct()) {
            return;
        }
        long atMillis = requestedAtMillis - reported.ageMillis();
        StorePosition known = mParts.site().items().position();
        if (known.isBefore(reported.position())) {
            mParts.viewAge().recordPlatformAnswer(atMillis);
        } else if (known.isSameEra(reported.position())) {
            mParts.viewAge().recordPeerConfirmation(atMillis);
        }
    }

    /** Returns the position of the newest known change. */
    public StorePosition newestPosition() {
        return mParts.site().items().newestPosition();
    }

    /** Returns the newest known position, and since when the platform may hold newer changes. */
    public SiteView view() {
        // Age first: a change between the two reads makes the age too high, never too low.
        long ageMillis = mParts.viewAge().ageMillis();
        return new SiteView(newestPosition(), ageMillis);
    }

    /** Returns the view to report to other nodes; only reads of this node count for its age. */
    public SiteView reportedView() {
        long ageMillis = mParts.viewAge().reportedAgeMillis();
        return new SiteView(mParts.site().items().position(), ageMillis);
    }
}
