package org.apricotgauge.config;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.DetectionOdds;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Route;
import org.apricotgauge.model.Service;
import org.apricotgauge.model.Target;

/**
 * One change that a patch makes: an entity put or removed, or one setting of it changed.
 *
 * <pre>{@code
 * {"op": "setFloorPercent", "service": "lessons", "floorPercent": 70}
 * }</pre>
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "op")
@JsonSubTypes({
    @JsonSubTypes.Type(value = PatchOperation.PutService.class, name = "putService"),
    @JsonSubTypes.Type(value = PatchOperation.RemoveService.class, name = "removeService"),
    @JsonSubTypes.Type(value = PatchOperation.PutTarget.class, name = "putTarget"),
    @JsonSubTypes.Type(value = PatchOperation.RemoveTarget.class, name = "removeTarget"),
    @JsonSubTypes.Type(value = PatchOperation.PutRoute.class, name = "putRoute"),
    @JsonSubTypes.Type(value = PatchOperation.RemoveRoute.class, name = "removeRoute"),
    @JsonSubTypes.Type(value = PatchOperation.PutMember.class, name = "putMember"),
    @JsonSubTypes.Type(value = PatchOperation.RemoveMember.class, name = "removeMember"),
    @JsonSubTypes.Type(value = PatchOperation.SetFloorPercent.class, name = "setFloorPercent"),
    @JsonSubTypes.Type(value = PatchOperation.SetDetection.class, name = "setDetection"),
    @JsonSubTypes.Type(value = PatchOperation.SetRetryBudget.class, name = "setRetryBudget"),
    @JsonSubTypes.Type(value = PatchOperation.SetFleetShare.class, name = "setFleetShare"),
    @JsonSubTypes.Type(value = PatchOperation.SetPredecessor.class, name = "setPredecessor"),
    @JsonSubTypes.Type(value = PatchOperation.SetTargetSlots.class, name = "setTargetSlots"),
    @JsonSubTypes.Type(value = PatchOperation.SetKeysRequired.class, name = "setKeysRequired")
})
public sealed interface PatchOperation {
    /** Stands for the name of the site, of which there is one. */
    String SITE = "site";

    /** Returns the kind of the entity that it changes. */
    EntityKind kind();

    /** Returns the name of the entity that it changes. */
    String entityId();

    /** Adds the service or replaces the one of its name. */
    record PutService(Service service) implements PatchOperation {
        /** Checks the parts. */
        public PutService {
            Checks.notNull("service", service);
        }

        @Override
        public EntityKind kind() {
            return EntityKind.SERVICE;
        }

        @Override
        public String entityId() {
            return service.id();
        }
    }

    /** Removes a service that nothing uses any more. */
    record RemoveService(String id) implements PatchOperation {
        /** Checks the parts. */
        public RemoveService {
            Checks.id("id", id);
        }

        @Override
        public EntityKind kind() {
            return EntityKind.SERVICE;
        }

        @Override
        public String entityId() {
            return id;
        }
    }

    /** Adds the target or replaces the one of its name. */
    record PutTarget(Target target) implements PatchOperation {
        /** Checks the parts. */
        public PutTarget {
            Checks.notNull("target", target);
        }

        @Override
        public EntityKind kind() {
            return EntityKind.TARGET;
        }

        @Override
        public String entityId() {
            return target.id();
        }
    }

    /** Removes a target. */
    record RemoveTarget(String id) implements PatchOperation {
        /** Checks the parts. */
        public RemoveTarget {
            Checks.id("id", id);
        }

        @Override
        public EntityKind kind() {
            return EntityKind.TARGET;
        }

        @Override
        public String entityId() {
            return id;
        }
    }

    /** Adds the route or replaces the one of its name. */
    record PutRoute(Route route) implements PatchOperation {
        /** Checks the parts. */
        public PutRoute {
            Checks.notNull("route", route);
        }

        @Override
        public EntityKind kind() {
            return EntityKind.ROUTE;
        }

        @Override
        public String entityId() {
            return route.id();
        }
    }

    /** Removes a route. */
    record RemoveRoute(String id) implements PatchOperation {
        /** Checks the parts. */
        public RemoveRoute {
            Checks.id("id", id);
        }

        @Override
        public EntityKind kind() {
            return EntityKind.ROUTE;
        }

        @Override
        public String entityId() {
            return id;
        }
    }

    /** Adds the member or replaces the one of its name. */
    record PutMember(Member member) implements PatchOperation {
        /** Checks the parts. */
        public PutMember {
            Checks.notNull("member", member);
        }

        @Override
        public EntityKind kind() {
            return EntityKind.MEMBER;
        }

        @Override
        public String entityId() {
            return member.id();
        }
    }

    /** Removes a member; its requests then weigh {@link Member#DEFAULT_WEIGHT}. */
    record RemoveMember(String id) implements PatchOperation {
        /** Checks the parts. */
        public RemoveMember {
            Checks.id("id", id);
        }

        @Override
        public EntityKind kind() {
            return EntityKind.MEMBER;
        }

        @Override
        public String entityId() {
            return id;
        }
    }

    /** Changes the floor of a service. */
    record SetFloorPercent(String service, int floorPercent) implements PatchOperation {
        /** Checks the parts. */
        public SetFloorPercent {
            Checks.id("service", service);
        }

        @Override
        public EntityKind kind() {
            return EntityKind.SERVICE;
        }

        @Override
        public String entityId() {
            return service;
        }
    }

    /** Changes the odds of detection of a service. */
    record SetDetection(String service, DetectionOdds detection) implements PatchOperation {
        /** Checks the parts. */
        public SetDetection {
            Checks.id("service", service);
            Checks.notNull("detection", detection);
        }

        @Override
        public EntityKind kind() {
            return EntityKind.SERVICE;
        }

        @Override
        public String entityId() {
            return service;
        }
    }

    /** Changes the retry budget of a service. */
    record SetRetryBudget(String service, int retryBudgetPercent) implements PatchOperation {
        /** Checks the parts. */
        public SetRetryBudget {
            Checks.id("service", service);
        }

        @Override
        public EntityKind kind() {
            return EntityKind.SERVICE;
        }

        @Override
        public String entityId() {
            return service;
        }
    }

    /** Changes the share of a service's requests that the fleet serves itself. */
    record SetFleetShare(String service, int fleetSharePercent) implements PatchOperation {
        /** Checks the parts. */
        public SetFleetShare {
            Checks.id("service", service);
        }

        @Override
        public EntityKind kind() {
            return EntityKind.SERVICE;
        }

        @Override
        public String entityId() {
            return service;
        }
    }

    /** Changes the address of the older routing system; null where there is none any more. */
    record SetPredecessor(String service, Address predecessor) implements PatchOperation {
        /** Checks the parts. */
        public SetPredecessor {
            Checks.id("service", service);
        }

        @Override
        public EntityKind kind() {
            return EntityKind.SERVICE;
        }

        @Override
        public String entityId() {
            return service;
        }
    }

    /** Changes how many requests a target runs at a time. */
    record SetTargetSlots(String target, int slots) implements PatchOperation {
        /** Checks the parts. */
        public SetTargetSlots {
            Checks.id("target", target);
        }

        @Override
        public EntityKind kind() {
            return EntityKind.TARGET;
        }

        @Override
        public String entityId() {
            return target;
        }
    }

    /** Changes whether requests need an API key, even if no member has one. */
    record SetKeysRequired(boolean keysRequired) implements PatchOperation {
        @Override
        public EntityKind kind() {
            return EntityKind.SITE;
        }

        @Override
        public String entityId() {
            return SITE;
        }
    }
}
