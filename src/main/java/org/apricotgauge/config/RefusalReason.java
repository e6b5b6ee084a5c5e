package org.apricotgauge.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.apricotgauge.model.KeyDigest;

/**
 * Why a patch was refused.
 *
 * <p>Each reason has one line for people in {@link #message}; the parts are for programs.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "reason")
public sealed interface RefusalReason {

    /** Returns one line that names the fault and the values. */
    @JsonProperty("message")
    String message();

    /** The text is no patch. */
    record Malformed(String detail) implements RefusalReason {
        @Override
        public String message() {
            return "malformed patch: " + detail;
        }
    }

    /** The text is longer than the platform's values may be. */
    record TooLarge(long bytes, long maxBytes) implements RefusalReason {
        @Override
        public String message() {
            return "patch of " + bytes + " bytes is over the bound of " + maxBytes + " bytes";
        }
    }

    /** Another patch came first, or the patch names a version that is still to come. */
    record NotOnCurrentVersion(long baseVersion, long currentVersion) implements RefusalReason {
        @Override
        public String message() {
            return "patch is on version "
                    + baseVersion
                    + " but the current version is "
                    + currentVersion
                    + (baseVersion < currentVersion ? "; make it anew on the current one" : "");
        }
    }

    /** The patch wants to be judged by rules that are neither in force nor next. */
    record RulesOutOfTurn(int rulesVersion, int rulesInForce) implements RefusalReason {
        @Override
        public String message() {
            return "rulesVersion must be "
                    + rulesInForce
                    + " (in force) or "
                    + (rulesInForce + 1L)
                    + " (next), was "
                    + rulesVersion;
        }
    }

    /** An operation removes or changes what is not there. */
    record Missing(EntityKind kind, String id) implements RefusalReason {
        @Override
        public String message() {
            return "there is no " + kind.label() + " \"" + id + '"';
        }
    }

    /** A target or route would name a service that is not there. */
    record ServiceMissing(EntityKind kind, String id, String service) implements RefusalReason {
        @Override
        public String message() {
            return kind.label()
                    + " \""
                    + id
                    + "\" names service \""
                    + service
                    + "\", which is not there";
        }
    }

    /** A service would go while targets or routes still name it. */
    record ServiceInUse(String service, int targets, int routes) implements RefusalReason {
        @Override
        public String message() {
            return "service \""
                    + service
                    + "\" is still used by "
                    + targets
                    + " targets and "
                    + routes
                    + " routes";
        }
    }

    /** Two routes would match the same requests. */
    record RouteTaken(String route, String otherRoute, String host, String pathPrefix)
            implements RefusalReason {
        @Override
        public String message() {
            return "route \""
                    + route
                    + "\" matches what route \""
                    + otherRoute
                    + "\" matches already: host "
                    + host
                    + ", path "
                    + pathPrefix;
        }
    }

    /** Two members would hold one key; the line gives its digest, never the key. */
    record KeyTaken(String member, String otherMember, KeyDigest key) implements RefusalReason {
        @Override
        public String message() {
            return "member \""
                    + member
                    + "\" has the key "
                    + key
                    + " that member \""
                    + otherMember
                    + "\" has already";
        }
    }

    /** An entity has fields that the rules it is judged by don't know. */
    record NeedsRules(EntityKind kind, String id, int rulesVersion) implements RefusalReason {
        @Override
        public String message() {
            return kind.label()
                    + " \""
                    + id
                    + "\" has fields that need rulesVersion "
                    + rulesVersion;
        }
    }

    /** The targets of one VM would stand in two failure domains. */
    record VmInTwoFailureDomains(String vm, String failureDomain, String otherFailureDomain)
            implements RefusalReason {
        @Override
        public String message() {
            return "VM \""
                    + vm
                    + "\" would be in failure domains \""
                    + failureDomain
                    + "\" and \""
                    + otherFailureDomain
                    + '"';
        }
    }

    /** A changed setting is out of range or does not fit the rest of its entity. */
    record InvalidSetting(EntityKind kind, String id, String detail) implements RefusalReason {
        @Override
        public String message() {
            return kind.label() + " \"" + id + "\": " + detail;
        }
    }

    /** There are more reasons than are listed. */
    record More(int count) implements RefusalReason {
        @Override
        public String message() {
            return "and " + count + " more";
        }
    }
}
