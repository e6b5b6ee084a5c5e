package org.apricotgauge.config;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.KeyDigest;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Route;
import org.apricotgauge.model.Service;
import org.apricotgauge.model.ServiceShare;
import org.apricotgauge.model.SiteSettings;
import org.apricotgauge.model.Target;

/**
 * One patch being applied to one configuration; used once, by one thread.
 *
 * <p>Operations apply in their order, and each that names what is not there is a reason. What the
 * entities say of each other is checked at the end, and only for those that were touched.
 */
final class PatchFold {
    private static final int MAX_REASONS = 20;

    private final int mRulesVersion;
    private final Set<String> mTouchedServices = new LinkedHashSet<>();
    private final Set<String> mTouchedTargets = new LinkedHashSet<>();
    private final Set<String> mTouchedRoutes = new LinkedHashSet<>();
    private final List<ClaimedKey> mClaimedKeys = new ArrayList<>();
    private final List<RefusalReason> mReasons = new ArrayList<>();
    private Configuration mConfiguration;
    private Digest mContent;

    /**
     * A key that a member gets while another holds it; that one may lose it by a later operation.
     */
    private record ClaimedKey(String member, String holder, KeyDigest key) {}

    PatchFold(Configuration configuration, Digest content, int rulesVersion) {
        mConfiguration = configuration;
        mContent = content;
        mRulesVersion = rulesVersion;
    }

    /** Applies the operations and returns why they can't take effect; empty if they can. */
    List<RefusalReason> apply(List<PatchOperation> operations) {
        operations.forEach(this::apply);
        mTouchedServices.forEach(this::checkService);
        mTouchedTargets.forEach(this::checkTarget);
        mTouchedRoutes.forEach(this::checkRoute);
        mClaimedKeys.forEach(this::checkKey);
        if (mReasons.size() <= MAX_REASONS) {
            return mReasons;
        }
        List<RefusalReason> shown = new ArrayList<>(mReasons.subList(0, MAX_REASONS));
        shown.add(new RefusalReason.More(mReasons.size() - MAX_REASONS));
        return shown;
    }

    Configuration configuration() {
        return mConfiguration;
    }

    Digest content() {
        return mContent;
    }

    private void apply(PatchOperation operation) {
        if (operation instanceof PatchOperation.PutService put) {
            put(put.service());
        } else if (operation instanceof PatchOperation.PutTarget put) {
            put(put.target());
        } else if (operation instanceof PatchOperation.PutRoute put) {
            put(put.route());
        } else if (operation instanceof PatchOperation.PutMember put) {
            put(put.member());
        } else if (operation instanceof PatchOperation.SetTargetSlots set) {
            changeSlots(set);
        } else if (operation instanceof PatchOperation.SetKeysRequired set) {
            changeKeysRequired(set);
        } else if (!applyRemoval(operation)) {
            changeService(operation);
        }
    }

    private boolean applyRemoval(PatchOperation operation) {
        if (operation instanceof PatchOperation.RemoveService remove) {
            removeService(remove.id());
        } else if (operation instanceof PatchOperation.RemoveTarget remove) {
            removeTarget(remove.id());
        } else if (operation instanceof PatchOperation.RemoveRoute remove) {
            removeRoute(remove.id());
        } else if (operation instanceof PatchOperation.RemoveMember remove) {
            removeMember(remove.id());
        } else {
            return false;
        }
        return true;
    }

    private void put(Service service) {
        exchange(EntityKind.SERVICE, mConfiguration.service(service.id()), service);
        mConfiguration = mConfiguration.withService(service);
        mTouchedServices.add(service.id());
    }

    private void put(Target target) {
        exchange(EntityKind.TARGET, mConfiguration.target(target.id()), target);
        mConfiguration = mConfiguration.withTarget(target);
        mTouchedTargets.add(target.id());
    }

    private void put(Route route) {
        if (route.openAccess() != null) {
            requireRules(Rules.ACCESS, EntityKind.ROUTE, route.id());
        }
        exchange(EntityKind.ROUTE, mConfiguration.route(route.id()), route);
        mConfiguration = mConfiguration.withRoute(route);
        mTouchedRoutes.add(route.id());
    }

    private void put(Member member) {
        if (member.hasAccessSettings()) {
            requireRules(Rules.ACCESS, EntityKind.MEMBER, member.id());
        }
        exchange(EntityKind.MEMBER, mConfiguration.member(member.id()), member);
        claimKeys(member);
        mConfiguration = mConfiguration.withMember(member);
    }

    private void claimKeys(Member member) {
        if (member.keys() == null) {
            return;
        }
        for (KeyDigest key : member.keys()) {
            Member holder = mConfiguration.memberOf(key);
            if (holder != null && !holder.id().equals(member.id())) {
                mClaimedKeys.add(new ClaimedKey(member.id(), holder.id(), key));
            }
        }
    }

    // An older release refuses these fields under the rules that it knows, and so must this one.
    private void requireRules(int rules, EntityKind kind, String id) {
        if (mRulesVersion < rules) {
            mReasons.add(new RefusalReason.NeedsRules(kind, id, rules));
        }
    }

    private void changeKeysRequired(PatchOperation.SetKeysRequired set) {
        requireRules(Rules.KEYS_REQUIRED, set.kind(), set.entityId());
        SiteSettings old = mConfiguration.siteSettings();
        mConfiguration = mConfiguration.withKeysRequired(set.keysRequired());
        SiteSettings settings = mConfiguration.siteSettings();
        if (old != null) {
            mContent = mContent.minus(EntityDigest.of(EntityKind.SITE, old));
        }
        if (settings != null) {
            mContent = mContent.plus(EntityDigest.of(EntityKind.SITE, settings));
        }
    }

    private void removeService(String id) {
        if (subtract(EntityKind.SERVICE, id, mConfiguration.service(id))) {
            mConfiguration = mConfiguration.withoutService(id);
            mTouchedServices.add(id);
        }
    }

    private void removeTarget(String id) {
        if (subtract(EntityKind.TARGET, id, mConfiguration.target(id))) {
            mConfiguration = mConfiguration.withoutTarget(id);
        }
    }

    private void removeRoute(String id) {
        if (subtract(EntityKind.ROUTE, id, mConfiguration.route(id))) {
            mConfiguration = mConfiguration.withoutRoute(id);
        }
    }

    private void removeMember(String id) {
        if (subtract(EntityKind.MEMBER, id, mConfiguration.member(id))) {
            mConfiguration = mConfiguration.withoutMember(id);
        }
    }

    private void changeService(PatchOperation operation) {
        String id = operation.entityId();
        Service service = mConfiguration.service(id);
        if (service == null) {
            mReasons.add(new RefusalReason.Missing(EntityKind.SERVICE, id));
            return;
        }
        try {
            put(ServiceSettings.change(service, operation));
        } catch (IllegalArgumentException e) {
            mReasons.add(new RefusalReason.InvalidSetting(EntityKind.SERVICE, id, e.getMessage()));
        }
    }

    private void changeSlots(PatchOperation.SetTargetSlots set) {
        Target old = mConfiguration.target(set.target());
        if (old == null) {
            mReasons.add(new RefusalReason.Missing(EntityKind.TARGET, set.target()));
            return;
        }
        try {
            put(old.withSlots(set.slots()));
        } catch (IllegalArgumentException e) {
            mReasons.add(
                    new RefusalReason.InvalidSetting(
                            EntityKind.TARGET, set.target(), e.getMessage()));
        }
    }

    /** Takes the old entity, if there is one, out of the content's digest and adds the new. */
    private void exchange(EntityKind kind, Object old, Object entity) {
        if (old != null) {
            mContent = mContent.minus(EntityDigest.of(kind, old));
        }
        mContent = mContent.plus(EntityDigest.of(kind, entity));
    }

    /** Takes the entity out of the content's digest; without one, that is a reason. */
    private boolean subtract(EntityKind kind, String id, Object old) {
        if (old == null) {
            mReasons.add(new RefusalReason.Missing(kind, id));
            return false;
        }
        mContent = mContent.minus(EntityDigest.of(kind, old));
        return true;
    }

    private void checkService(String id) {
        int targets = mConfiguration.targetsOf(id).size();
        int routes = mConfiguration.routesOf(id).size();
        if (mConfiguration.service(id) == null && targets + routes > 0) {
            mReasons.add(new RefusalReason.ServiceInUse(id, targets, routes));
        }
    }

    private void checkTarget(String id) {
        Target target = mConfiguration.target(id);
        if (target == null) {
            return;
        }
        if (mConfiguration.service(target.service()) == null
                && !mTouchedServices.contains(target.service())) {
            mReasons.add(new RefusalReason.ServiceMissing(EntityKind.TARGET, id, target.service()));
        }
        mConfiguration.targetsOn(target.vm()).stream()
                .map(Target::failureDomain)
                .filter(other -> !other.equals(target.failureDomain()))
                .sorted()
                .findFirst()
                .ifPresent(
                        other ->
                                mReasons.add(
                                        new RefusalReason.VmInTwoFailureDomains(
                                                target.vm(), target.failureDomain(), other)));
    }

    private void checkKey(ClaimedKey claim) {
        Member holder = mConfiguration.member(claim.holder());
        Member member = mConfiguration.member(claim.member());
        if (holder != null
                && holder.holds(claim.key())
                && member != null
                && member.holds(claim.key())) {
            mReasons.add(new RefusalReason.KeyTaken(claim.member(), claim.holder(), claim.key()));
        }
    }

    private void checkRoute(String id) {
        Route route = mConfiguration.route(id);
        if (route == null) {
            return;
        }
        for (ServiceShare share : route.shares()) {
            if (mConfiguration.service(share.service()) == null
                    && !mTouchedServices.contains(share.service())) {
                mReasons.add(
                        new RefusalReason.ServiceMissing(EntityKind.ROUTE, id, share.service()));
            }
        }
        mConfiguration.routesAt(route.host(), route.pathPrefix()).stream()
                .map(Route::id)
                .filter(other -> !other.equals(id))
                .sorted()
                .findFirst()
                .ifPresent(
                        other ->
                                mReasons.add(
                                        new RefusalReason.RouteTaken(
                                                id, other, route.host(), route.pathPrefix())));
    }
}
