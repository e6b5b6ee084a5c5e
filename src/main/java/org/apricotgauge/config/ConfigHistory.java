package org.apricotgauge.config;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.nio.ByteBuffer;
import java.util.List;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Configuration;

/**
 * The platform's list of patches folded up to one position; immutable and safe to share.
 *
 * <pre>{@code
 * FoldResult result = ConfigHistory.EMPTY.apply(new LogEntry(1, body));
 * Configuration configuration = result.history().configuration();
 * }</pre>
 *
 * <p>Every node and the review program fold the same list with this function, so that all agree
 * without talking: the first patch on the current version takes effect, and any other is refused as
 * a whole. That is the lock by tail sequence number of "The Key Ideas Behind Boki's Shared Logs",
 * section 4.1.2. The outcome depends on the list alone: not on a clock, a setting or an order of
 * arrival.
 */
public final class ConfigHistory {
    /** The history before the first entry: version 0, an empty configuration. */
    public static final ConfigHistory EMPTY =
            new ConfigHistory(
                    new HistoryMark(0, 0, Rules.FIRST, Digest.ZERO, Digest.ZERO),
                    Digest.ZERO,
                    Configuration.EMPTY);

    private static final byte[] ACCEPTED = {1};
    private static final byte[] REFUSED = {0};

    private final HistoryMark mMark;
    private final Digest mContent;
    private final Digest mDigest;
    private final Configuration mConfiguration;

    private ConfigHistory(HistoryMark mark, Digest content, Configuration configuration) {
        mMark = mark;
        mContent = content;
        mDigest = digest(mark, content);
        mConfiguration = configuration;
    }

    /**
     * Returns the history that a snapshot holds; whoever calls it compares {@link #digest()} with a
     * digest from elsewhere.
     */
    static ConfigHistory restore(HistoryMark mark, Configuration configuration) {
        Checks.notNull("mark", mark);
        Checks.notNull("configuration", configuration);
        return new ConfigHistory(mark, EntityDigest.of(configuration), configuration);
    }

    /** Returns the position of the last entry folded; 0 if there was none. */
    public long position() {
        return mMark.position();
    }

    /** Returns the current version: how many patches took effect. */
    public long version() {
        return mMark.version();
    }

    /** Returns the version of the rules in force, see {@link Rules}. */
    public int rulesVersion() {
        return mMark.rulesVersion();
    }

    /**
     * Returns the digest at this position.
     *
     * <p>It covers every entry with its verdict, the refused ones too, and the configuration that
     * came of them. Two histories at one position are the same if and only if their digests are;
     * were refused entries left out, two nodes that differ in the list they read, or in why the
     * version stands where it does, would not see it before the next accepted patch.
     */
    public Digest digest() {
        return mDigest;
    }

    /**
     * Returns the digest of the current version: of the accepted patches alone, so that it changes
     * only with the version.
     */
    public Digest versionDigest() {
        return mMark.versionDigest();
    }

    /** Returns the configuration in force at this position. */
    public Configuration configuration() {
        return mConfiguration;
    }

    /**
     * Folds one entry.
     *
     * <p>It costs the size of the entry, not that of the configuration.
     */
    public FoldResult apply(LogEntry entry) {
        return apply(entry, Rules.NEWEST);
    }

    /** As {@link #apply(LogEntry)}, in a release whose newest rules are the given ones. */
    FoldResult apply(LogEntry entry, int newestRules) {
        Checks.notNull("entry", entry);
        long next = position() + 1;
        if (entry.position() != next) {
            return new FoldResult.OutOfOrder(this, next, entry.position());
        }
        PatchCodec.Envelope envelope = PatchCodec.openEnvelope(entry.body());
        RefusalReason reason = checkEnvelope(envelope);
        if (reason != null) {
            return refuse(entry, List.of(reason));
        }
        if (envelope.rulesVersion() > newestRules) {
            return new FoldResult.UnsupportedRules(this, next, envelope.rulesVersion());
        }
        PatchCodec.Result decoded = PatchCodec.decode(envelope);
        if (decoded instanceof PatchCodec.Undecodable undecodable) {
            return refuse(entry, List.of(undecodable.reason()));
        }
        return fold(entry, ((PatchCodec.Decoded) decoded).patch());
    }

    /** Returns position, version and digest, for logs. */
    @Override
    public String toString() {
        return "position " + position() + ", version " + version() + ", digest " + digest();
    }

    /** Returns where this history stands, without its configuration. */
    public HistoryMark mark() {
        return mMark;
    }

    private RefusalReason checkEnvelope(PatchCodec.Envelope envelope) {
        if (envelope.reason() != null) {
            return envelope.reason();
        }
        if (envelope.baseVersion() != version()) {
            return new RefusalReason.NotOnCurrentVersion(envelope.baseVersion(), version());
        }
        int rules = envelope.rulesVersion();
        if (rules != rulesVersion() && rules != rulesVersion() + 1) {
            return new RefusalReason.RulesOutOfTurn(rules, rulesVersion());
        }
        return null;
    }

    private FoldResult fold(LogEntry entry, Patch patch) {
        PatchFold fold = new PatchFold(mConfiguration, mContent, patch.rulesVersion());
        List<RefusalReason> reasons = fold.apply(patch.operations());
        return reasons.isEmpty()
                ? new FoldResult.Accepted(accept(entry, patch, fold), patch)
                : refuse(entry, reasons);
    }

    private ConfigHistory accept(LogEntry entry, Patch patch, PatchFold fold) {
        byte[] body = entry.body().getBytes(UTF_8);
        HistoryMark mark =
                new HistoryMark(
                        entry.position(),
                        version() + 1,
                        patch.rulesVersion(),
                        Digest.sha256(mMark.logDigest().toBytes(), ACCEPTED, body),
                        Digest.sha256(
                                mMark.versionDigest().toBytes(), fold.content().toBytes(), body));
        return new ConfigHistory(mark, fold.content(), fold.configuration());
    }

    private FoldResult refuse(LogEntry entry, List<RefusalReason> reasons) {
        byte[] body = entry.body().getBytes(UTF_8);
        HistoryMark mark =
                new HistoryMark(
                        entry.position(),
                        version(),
                        rulesVersion(),
                        Digest.sha256(mMark.logDigest().toBytes(), REFUSED, body),
                        versionDigest());
        return new FoldResult.Refused(new ConfigHistory(mark, mContent, mConfiguration), reasons);
    }

    private static Digest digest(HistoryMark mark, Digest content) {
        ByteBuffer numbers = ByteBuffer.allocate(2 * Long.BYTES + Integer.BYTES);
        numbers.putLong(mark.position()).putLong(mark.version()).putInt(mark.rulesVersion());
        return Digest.sha256(
                numbers.array(),
                mark.logDigest().toBytes(),
                mark.versionDigest().toBytes(),
                content.toBytes());
    }
}
