package org.apricotgauge.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.apricotgauge.caller.EntryOptions;
import org.apricotgauge.cli.Command;
import org.apricotgauge.cli.Setting;
import org.apricotgauge.cli.SettingKind;
import org.apricotgauge.cli.SettingKinds;
import org.apricotgauge.cli.SettingValues;
import org.apricotgauge.decision.attempt.KeyLimits;
import org.apricotgauge.decision.attempt.RetryAllowancePolicy;
import org.apricotgauge.decision.attempt.RetryPolicy;
import org.apricotgauge.decision.ratelimit.FallbackQuota;
import org.apricotgauge.decision.routing.LoadSharing;
import org.apricotgauge.directory.PlatformTimes;
import org.apricotgauge.http.SiteDialect;
import org.apricotgauge.log.LogSettings;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.DetectionOdds;
import org.apricotgauge.model.Vm;

/**
 * The settings of a node whose platform publishes keys and where targets register themselves.
 *
 * <pre>{@code
 * SidecarSettings.command().runAndExit(args, SidecarMain::run);
 * }</pre>
 *
 * @param failureDomain failure domain of the VM
 * @param service service of the target beside the node
 * @param callers address for callers
 * @param guard address for other nodes' requests; the same port on every VM
 * @param admin address of the administration API
 * @param platform address of the platform's store
 * @param healthReportAddress address for health reports (UDP); the same port on every VM
 * @param crashMessageAddress address for crash messages (UDP); the same port on every VM
 * @param floorShare minimum share of healthy capacity that ejections may leave
 * @param retryRatio maximum retries of the whole fleet for each request
 * @param retryBurst retries that the whole fleet may make in a window in addition to its ratio
 * @param retryWindowSeconds length of the window that bounds retries
 * @param servesOnMillis how long a target accepts requests once the platform knows that it leaves
 * @param heartbeatMillis how often a target writes its registration
 * @param stopSeconds maximum time that a stop takes
 * @param limitTolerance tolerance beyond members' limits
 * @param cpuShare processor time that the VM grants to the node, in cores
 * @param log log settings
 */
public record SidecarSettings(
        String failureDomain,
        String service,
        Address callers,
        Address guard,
        Address admin,
        Address platform,
        Address healthReportAddress,
        Address crashMessageAddress,
        double floorShare,
        double retryRatio,
        double retryBurst,
        double retryWindowSeconds,
        double servesOnMillis,
        double heartbeatMillis,
        double stopSeconds,
        FallbackQuota.Tolerance limitTolerance,
        double cpuShare,
        LogSettings log) {
    private static final double ALL_PERCENT = 100.0;
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final int CALLER_CONNECTIONS = 3_000;

    /**
     * A stop ends this long before the platform kills the process, in milliseconds: enough to end
     * the process with a part of a core.
     */
    private static final long STOP_RESERVE_MILLIS = 300;

    /**
     * How long a stopping node serves as before, in milliseconds: the platform checks readiness
     * once a second and routes callers elsewhere after two failures; half a second is for the last
     * callers that are routed here.
     */
    private static final long ANNOUNCE_MILLIS = 2_700;

    /**
     * Share of the allowed ratio that nodes use; the rest is for requests that are counted here but
     * not by the platform, such as those of callers that disconnected before it counted them.
     */
    private static final double USED_RATIO_SHARE = 0.8;

    /** Share of the allowed burst that nodes use; the rest is for nested calls of a retried run. */
    private static final double USED_BURST_SHARE = 0.85;

    /**
     * A false ejection costs as much as 300 s of work at a degraded target; see the design page.
     */
    private static final DetectionOdds ODDS = new DetectionOdds(300, 1);

    /**
     * Maximum evidence on a node's responses, in bytes a second; it serves the slow tests of
     * detection. Health is reported by datagrams here, and traffic between failure domains is
     * charged.
     */
    private static final int EVIDENCE_BYTES_PER_SECOND = 500;

    /**
     * Refusals by guards of suspect or busy targets count as attempts and cost 5 ms each (median of
     * 396 requests with six or more). With five attempts, one booking in nine on the heaviest day
     * measured (279 of 2,485) went to a suspect target because no attempts were left, and failed.
     * Ten attempts reach each target of a present-day service.
     */
    private static final RetryPolicy RETRY_POLICY = new RetryPolicy(10, 20);

    private static final Setting<String> FAILURE_DOMAIN =
            Setting.required("failure-domain", SettingKinds.id(), "Failure domain of the VM.");
    private static final Setting<String> SERVICE =
            Setting.required(
                    "service", SettingKinds.id(), "Service of the target beside the node.");
    private static final Setting<Address> CALLERS =
            Setting.required("caller-address", SettingKinds.address(), "Address for callers.");
    private static final Setting<Address> GUARD =
            Setting.required(
                    "guard-address",
                    SettingKinds.address(),
                    "Address for other nodes' requests; the same port on every VM.");
    private static final Setting<Address> ADMIN =
            Setting.required(
                    "admin-address",
                    SettingKinds.address(),
                    "Address of the administration API, which reports readiness.");
    private static final Setting<Address> PLATFORM =
            Setting.required(
                    "store-address", SettingKinds.address(), "Address of the platform's store.");
    private static final Setting<Address> HEALTH_REPORTS =
            Setting.required(
                    "news-address",
                    SettingKinds.address(),
                    "Address for health reports (UDP); the same port on every VM.");
    private static final Setting<Address> CRASH_MESSAGES =
            Setting.required(
                    "crash-news-address",
                    SettingKinds.address(),
                    "Address for crash messages (UDP); the same port on every VM.");
    private static final Setting<Double> FLOOR =
            Setting.withDefault(
                    "floor-share",
                    orDefault(SettingKinds.decimal("share", 0, 1), 0.7),
                    0.7,
                    "Minimum share of a service's healthy capacity that ejections may leave.");
    private static final Setting<Double> RETRY_RATIO =
            Setting.withDefault(
                    "retry-ratio",
                    orDefault(SettingKinds.decimal("retries for each request", 0, 1), 0.2),
                    0.2,
                    "Maximum retries of the whole fleet for each request.");
    private static final Setting<Double> RETRY_BURST =
            Setting.withDefault(
                    "retry-burst",
                    orDefault(SettingKinds.decimal("retries", 0, 1_000_000), 60.0),
                    60.0,
                    "Retries that the whole fleet may make in a window in addition to its ratio.");
    private static final Setting<Double> RETRY_WINDOW =
            Setting.withDefault(
                    "retry-window-seconds",
                    orDefault(SettingKinds.decimal("seconds", 1, 3_600), 10.0),
                    10.0,
                    "Length of the window that bounds retries.");
    private static final Setting<Double> SERVES_ON =
            Setting.withDefault(
                    "serves-on-millis",
                    orDefault(SettingKinds.decimal("milliseconds", 100, 600_000), 1_600.0),
                    1_600.0,
                    "How long a target accepts requests once the platform knows that it leaves.");
    private static final Setting<Double> HEARTBEAT =
            Setting.withDefault(
                    "heartbeat-millis",
                    orDefault(SettingKinds.decimal("milliseconds", 10, 600_000), 1_000.0),
                    1_000.0,
                    "How often a target writes its registration.");
    private static final Setting<Double> STOP =
            Setting.withDefault(
                    "stop-seconds",
                    orDefault(SettingKinds.decimal("seconds", 1, 600), 6.0),
                    6.0,
                    "Maximum time that a stop takes, until the platform kills the process.");

    private static final Setting<Double> LIMIT_WINDOW =
            Setting.withDefault(
                    "limit-window-seconds",
                    orDefault(SettingKinds.decimal("seconds", 0.1, 3_600), 1.0),
                    1.0,
                    "Length of the windows in which members' requests are counted.");
    private static final Setting<Double> LIMIT_OVER_SHARE =
            Setting.withDefault(
                    "limit-over-share",
                    orDefault(SettingKinds.decimal("share", 0, 10), 0.0),
                    0.0,
                    "Share of a member's limit that is tolerated beyond it.");
    private static final Setting<Double> LIMIT_SLACK =
            Setting.withDefault(
                    "limit-slack",
                    orDefault(SettingKinds.decimal("requests", 0, 1_000_000), 0.0),
                    0.0,
                    "Requests in a window that are tolerated beyond a member's limit.");

    private static final Setting<Double> CPU_SHARE =
            Setting.withDefault(
                    "cpu-share",
                    orDefault(SettingKinds.decimal("cores", 0.01, 1_024), 1.0),
                    1.0,
                    "Processor time that the VM grants to the node, in cores.");

    /** Checks the parts. */
    public SidecarSettings {
        Checks.id("failureDomain", failureDomain);
        Checks.id("service", service);
        Checks.notNull("callers", callers);
        Checks.notNull("guard", guard);
        Checks.notNull("admin", admin);
        Checks.notNull("platform", platform);
        Checks.notNull("healthReportAddress", healthReportAddress);
        Checks.notNull("crashMessageAddress", crashMessageAddress);
        Checks.notNull("limitTolerance", limitTolerance);
        Checks.notNull("log", log);
    }

    /** Accepts an empty value as the default: the platform leaves a bound empty if it has none. */
    private static SettingKind<Double> orDefault(SettingKind<Double> kind, double otherwise) {
        return new SettingKind<>(
                kind.allowed() + ", or nothing",
                text -> text.isBlank() ? otherwise : kind.parser().apply(text),
                kind.formatter());
    }

    /** Returns the command that reads these settings. */
    public static Command<SidecarSettings> command() {
        return new Command<>(
                "apricotgauge-sidecar",
                "Serves callers and guards the target beside it on the users' platform.",
                declared(),
                SidecarSettings::of);
    }

    private static List<Setting<?>> declared() {
        List<Setting<?>> settings = new ArrayList<>();
        settings.addAll(List.of(FAILURE_DOMAIN, SERVICE, CALLERS, GUARD, ADMIN, PLATFORM));
        settings.addAll(List.of(HEALTH_REPORTS, CRASH_MESSAGES));
        settings.addAll(List.of(FLOOR, RETRY_RATIO, RETRY_BURST, RETRY_WINDOW));
        settings.addAll(List.of(SERVES_ON, HEARTBEAT, STOP));
        settings.addAll(List.of(LIMIT_WINDOW, LIMIT_OVER_SHARE, LIMIT_SLACK));
        settings.add(CPU_SHARE);
        settings.addAll(LogSettings.declared());
        return List.copyOf(settings);
    }

    private static SidecarSettings of(SettingValues values) {
        return new SidecarSettings(
                values.get(FAILURE_DOMAIN),
                values.get(SERVICE),
                values.get(CALLERS),
                values.get(GUARD),
                values.get(ADMIN),
                values.get(PLATFORM),
                values.get(HEALTH_REPORTS),
                values.get(CRASH_MESSAGES),
                values.get(FLOOR),
                values.get(RETRY_RATIO),
                values.get(RETRY_BURST),
                values.get(RETRY_WINDOW),
                values.get(SERVES_ON),
                values.get(HEARTBEAT),
                values.get(STOP),
                new FallbackQuota.Tolerance(
                        values.get(LIMIT_WINDOW),
                        values.get(LIMIT_OVER_SHARE),
                        values.get(LIMIT_SLACK)),
                values.get(CPU_SHARE),
                LogSettings.of(values));
    }

    /**
     * Returns the settings of the node, with the dialect and the readiness path of its platform.
     */
    NodeProfile profile(SiteDialect dialect, String readyPath) {
        long killMillis = (long) (stopSeconds * MILLIS_PER_SECOND);
        long stopMillis = killMillis - STOP_RESERVE_MILLIS;
        return new NodeProfile(
                new Vm(
                        guard.host(),
                        failureDomain,
                        guard.host(),
                        callers.port(),
                        guard.port(),
                        0,
                        admin.port()),
                stopMillis,
                killMillis,
                Math.min(ANNOUNCE_MILLIS, stopMillis / 2),
                CALLER_CONNECTIONS,
                Set.of(readyPath),
                true,
                healthReportAddress,
                crashMessageAddress,
                EVIDENCE_BYTES_PER_SECOND,
                limitTolerance,
                new EntryOptions(
                        dialect,
                        EntryOptions.TargetAccess.GUARDS_ONLY,
                        RETRY_POLICY,
                        KeyLimits.DEFAULT,
                        RetryAllowancePolicy.UNBOUNDED,
                        guardRetryAllowance(),
                        LoadSharing.ofCpuShare(cpuShare)));
    }

    /** Returns the node's share of the retries that the whole fleet may make. */
    private RetryAllowancePolicy guardRetryAllowance() {
        double perWindow = retryBurst * USED_BURST_SHARE;
        return LoadSharing.ofCpuShare(cpuShare).rankedRetries()
                ? RetryAllowancePolicy.ofFleetByRank(perWindow, retryWindowSeconds)
                : RetryAllowancePolicy.ofFleet(perWindow, retryWindowSeconds);
    }

    /** Returns the times that the platform grants to leaving targets. */
    PlatformTimes times() {
        return new PlatformTimes((long) servesOnMillis, (long) heartbeatMillis);
    }

    /** Returns the settings of services. */
    SiteDefaults defaults() {
        return new SiteDefaults(
                (int) Math.ceil(floorShare * ALL_PERCENT),
                ODDS,
                (int) Math.floor(retryRatio * USED_RATIO_SHARE * ALL_PERCENT));
    }
}
