package org.apricotgauge.node;

import java.util.ArrayList;
import java.util.List;
import org.apricotgauge.cli.ProductVersion;
import org.apricotgauge.decision.detection.EjectionVerdicts;
import org.apricotgauge.decision.routing.Candidate;
import org.apricotgauge.decision.routing.ServiceTable;
import org.apricotgauge.model.Vm;
import org.apricotgauge.operator.NodePhase;
import org.apricotgauge.operator.NodeStatus;
import org.apricotgauge.operator.OutcomeWindows;
import org.apricotgauge.operator.Readiness;
import org.apricotgauge.operator.ServiceStatus;

/** Provides the status of the node for the administration API. */
final class NodeStatusSource {
    private final Vm mVm;
    private final long mIncarnation;
    private final RoutingState mState;
    private final DetectionService mDetection;
    private final OutcomeWindows mWindows;

    NodeStatusSource(
            Vm vm,
            long incarnation,
            RoutingState state,
            DetectionService detection,
            OutcomeWindows windows) {
        mVm = vm;
        mIncarnation = incarnation;
        mState = state;
        mDetection = detection;
        mWindows = windows;
    }

    static Readiness readiness(NodePhase phase) {
        return switch (phase) {
            case SERVING -> new Readiness(true, "serving");
            case STARTING -> new Readiness(false, "waits to know the configuration in force");
            case STOPPING -> new Readiness(false, "stopping");
        };
    }

    NodeStatus read(NodePhase phase, NodeControl.Mark mark) {
        return new NodeStatus(
                mVm.id(),
                mVm.failureDomain(),
                ProductVersion.text(),
                mIncarnation,
                phase,
                mState.table().version(),
                mark.versionDigest(),
                mark.position(),
                services(),
                mWindows.read());
    }

    /** Returns only services that this node has served; a large fleet has thousands of others. */
    private List<ServiceStatus> services() {
        List<ServiceStatus> services = new ArrayList<>();
        for (ServiceTable table : mState.table().services().values()) {
            EjectionVerdicts verdicts = mDetection.verdictsOf(table.service().id());
            if (verdicts == null) {
                continue;
            }
            List<String> leaving =
                    table.all().stream()
                            .filter(Candidate::leaving)
                            .map(candidate -> candidate.target().id())
                            .toList();
            List<String> ejected =
                    verdicts.byTarget().values().stream()
                            .filter(verdict -> !verdict.isEligible())
                            .map(verdict -> verdict.targetId())
                            .toList();
            services.add(
                    new ServiceStatus(table.service().id(), table.all().size(), leaving, ejected));
        }
        return services;
    }
}
