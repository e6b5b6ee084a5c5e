package org.apricotgauge.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.SiteSettings;

/**
 * The digest of a configuration's content: the sum of its entities' digests.
 *
 * <p>A sum needs no order and is changed by one entity at the cost of that entity, so that two
 * releases which read one patch differently are found out at the next digest, and a snapshot is
 * checked against a digest that came from elsewhere. It finds faults, not forgeries.
 *
 * <p>A field that a later version of the rules adds must be nullable, and null must mean what its
 * absence meant; null is left out, and older entities keep their digest.
 */
final class EntityDigest {

    private EntityDigest() {}

    static Digest of(EntityKind kind, Object entity) {
        return Digest.sha256(new byte[] {(byte) kind.ordinal()}, bytes(entity));
    }

    /** Returns the entity as JSON, the same bytes in every release and on every Java platform. */
    static byte[] bytes(Object entity) {
        try {
            return PatchCodec.mapper().writeValueAsBytes(entity);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("an entity can always be written", e);
        }
    }

    static Digest of(Configuration configuration) {
        Digest sum = Digest.ZERO;
        sum = sum.plus(sum(EntityKind.SERVICE, configuration.services()));
        sum = sum.plus(sum(EntityKind.TARGET, configuration.targets()));
        sum = sum.plus(sum(EntityKind.ROUTE, configuration.routes()));
        sum = sum.plus(sum(EntityKind.MEMBER, configuration.members()));
        SiteSettings site = configuration.siteSettings();
        return site == null ? sum : sum.plus(of(EntityKind.SITE, site));
    }

    private static Digest sum(EntityKind kind, Iterable<?> entities) {
        Digest sum = Digest.ZERO;
        for (Object entity : entities) {
            sum = sum.plus(of(kind, entity));
        }
        return sum;
    }
}
