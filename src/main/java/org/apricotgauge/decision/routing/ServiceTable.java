package org.apricotgauge.decision.routing;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Service;

/**
 * One service as one entry routes it: all targets, and the subset the entry usually works with.
 *
 * <pre>{@code
 * ServiceTable table = ServiceTable.of(service, candidates, "vm-17", "domain-a");
 * }</pre>
 *
 * <p>The subset is the same at every building (rendezvous hashing of entry and target, Thaler and
 * Ravishankar 1998): half from the entry's own failure domain, half from elsewhere. It keeps the
 * connections between thousands of entries and one guard few. Immutable.
 */
public final class ServiceTable {
    /** Targets that one entry works with, of the own failure domain and of others each. */
    public static final int SUBSET_HALF_SIZE = 10;

    private final Service mService;
    private final List<Candidate> mAll;
    private final List<Candidate> mLocal;
    private final List<Candidate> mRemote;

    private ServiceTable(
            Service service, List<Candidate> all, List<Candidate> local, List<Candidate> remote) {
        mService = service;
        mAll = all;
        mLocal = local;
        mRemote = remote;
    }

    /**
     * Builds the table.
     *
     * @param service the service
     * @param candidates all its targets
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
                service, List.copyOf(candidates), subset(local, entryVm), subset(remote, entryVm));
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

    /** Returns the candidate of a target that is not leaving, ejected or not. */
    public Optional<Candidate> candidate(String targetId) {
        return mAll.stream()
                .filter(one -> one.target().id().equals(targetId) && !one.leaving())
                .findFirst();
    }

    /** Returns the eligible targets of the subset that stand in the entry's failure domain. */
    public List<Candidate> local() {
        return mLocal;
    }

    /** Returns the eligible targets of the subset that stand elsewhere. */
    public List<Candidate> remote() {
        return mRemote;
    }
}
