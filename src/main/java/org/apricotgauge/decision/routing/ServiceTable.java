package org.apricotgauge.decision.routing;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Service;

/**
 * The targets of one service for one entry: all of them, and the subset that the entry normally
 * uses.
 *
 * <pre>{@code
 * ServiceTable table = ServiceTable.of(service, candidates, "vm-17", "domain-a");
 * }</pre>
 *
 * <p>The subset is deterministic (rendezvous hashing of entry and target, Thaler and Ravishankar
 * 1998): one half from the entry's own failure domain, the other half from elsewhere. It limits the
 * number of connections between thousands of entries and one guard. Immutable.
 */
public final class ServiceTable {
    /** Maximum size of each half of the subset: own failure domain, and all others. */
    public static final int SUBSET_HALF_SIZE = 10;

    private final Service mService;
    private final List<Candidate> mAll;
    private final List<Candidate> mLocal;
    private final List<Candidate> mRemote;
    private final List<Candidate> mBeside;

    private ServiceTable(
            Service service,
            List<Candidate> all,
            List<Candidate> local,
            List<Candidate> remote,
            List<Candidate> beside) {
        mService = service;
        mAll = all;
        mLocal = local;
        mRemote = remote;
        mBeside = beside;
    }

    /**
     * Builds a table.
     *
     * @param service the service
     * @param candidates all targets of the service
     * @param entryVm VM of the entry
     * @param entryDomain failure domain of the entry
     */
    public static ServiceTable of(
            Service service, List<Candidate> candidates, String entryVm, String entryDomain) {
        Checks.notNull("service", service);
        List<Candidate> local = new ArrayList<>();
        List<Candidate> remote = new ArrayList<>();
        for (Candidate candidate : candidates) {
            boolean own = candidate.target().failureDomain().equals(entryDomain);
            (own ? local : remote).add(candidate);
        }
        return new ServiceTable(
                service,
                List.copyOf(candidates),
                subset(local, entryVm),
                subset(remote, entryVm),
                candidates.stream().filter(one -> one.target().vm().equals(entryVm)).toList());
    }

    private static List<Candidate> subset(List<Candidate> candidates, String entryVm) {
        Comparator<Candidate> byHash =
                Comparator.comparingLong(
                        c ->
                                Hashing.komihash5_0()
                                        .hashCharsToLong(entryVm + '|' + c.target().id()));
        return candidates.stream()
                .filter(Candidate::isEligible)
                .sorted(byHash)
                .limit(SUBSET_HALF_SIZE)
                .toList();
    }

    /** Returns the service. */
    public Service service() {
        return mService;
    }

    /** Returns all targets of the service. */
    public List<Candidate> all() {
        return mAll;
    }

    /**
     * Returns the candidate of a target, ejected or not; empty if there is none or it is leaving.
     */
    public Optional<Candidate> candidate(String targetId) {
        return mAll.stream()
                .filter(c -> c.target().id().equals(targetId) && !c.leaving())
                .findFirst();
    }

    /** Returns the eligible targets of the subset in the entry's own failure domain. */
    public List<Candidate> local() {
        return mLocal;
    }

    /** Returns the eligible targets of the subset in other failure domains. */
    public List<Candidate> remote() {
        return mRemote;
    }

    /** Returns the targets on the entry's own VM, in the subset or not. */
    public List<Candidate> beside() {
        return mBeside;
    }
}
