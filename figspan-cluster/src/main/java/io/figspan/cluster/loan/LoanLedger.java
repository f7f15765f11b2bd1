package io.figspan.cluster.loan;

import io.figspan.cluster.action.ClusterAction;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.HostId;
import io.figspan.core.id.OrganisationId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Leases unused rate limit shares between hosts. The lender gives up the rate before it sends the grant and reclaims it
 * {@link #CLOCK_MARGIN_NANOS} after the lease; the borrower counts the lease from when it sent the request. Since the
 * request precedes the grant, the borrower always stops first, even if messages are lost, delayed or duplicated, and
 * clocks need not be synchronised. Within one lease the lender's clock may gain up to the margin on the borrower's.
 *
 * <p>A restarted process does not know what its previous incarnation lent, so it must not use its share for
 * {@link #RESTART_WAIT_NANOS}. Not thread-safe: a single driver executes the returned actions in order.
 */
public final class LoanLedger {
    /** Lease duration: short, so that a lender soon reclaims its share, but far above a round trip of under 1 ms. */
    public static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Time that a lender adds to a lease. It tolerates 20% clock drift, far more than real clocks have. */
    public static final long CLOCK_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time after which every loan of the previous incarnation has expired. */
    public static final long RESTART_WAIT_NANOS = LEASE_NANOS + CLOCK_MARGIN_NANOS;

    /** Timeout of a loan request. */
    private static final long REQUEST_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Two requests a second and their answers use 300 bytes/s of the control traffic budget of 2 KB/s. */
    private static final long REQUEST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final int REQUEST_BURST = 8;
    private static final int MAX_PENDING = 64;
    private static final int MAX_LEASES = 4_096;

    /** Fraction of the unused share that one grant may take, so that some is left for a renewal. */
    private static final double GRANT_FRACTION = 0.5;

    private final HostId self;
    private final LimitShares shares;
    private final Map<OrganisationId, List<Lease>> leases = new HashMap<>();
    private final Map<Long, PendingRequest> pending = new LinkedHashMap<>();
    private int leaseCount;
    private long nextRequestId;
    private long requestCreditFromNanos;

    /** A rate that is lent (negative) or borrowed (positive) until it expires. */
    private record Lease(OrganisationId organisation, long tokensPerSecond, long expiresAtNanos) {}

    private record PendingRequest(OrganisationId organisation, HostId lender, long tokensPerSecond, long sentNanos) {}

    /**
     * Creates an empty ledger.
     *
     * @param firstRequestId start of an id range that no other incarnation of this host uses, so that an answer to an
     *     earlier one is ignored; for example the incarnation number shifted left by 20 bits
     */
    public LoanLedger(HostId self, LimitShares shares, long firstRequestId, long nowNanos) {
        this.self = self;
        this.shares = shares;
        this.nextRequestId = firstRequestId;
        this.requestCreditFromNanos = nowNanos - REQUEST_BURST * REQUEST_INTERVAL_NANOS;
    }

    /** Net rate of all loans of an organisation at this time, in tokens per second; negative if more is lent. */
    public long netLoanRate(OrganisationId organisation, long nowNanos) {
        long net = 0;
        for (Lease lease : leases.getOrDefault(organisation, List.of())) {
            if (nowNanos - lease.expiresAtNanos() < 0) {
                net += lease.tokensPerSecond();
            }
        }
        return net;
    }

    public int leaseCount() {
        return leaseCount;
    }

    /** Ends expired leases. The driver calls it on each tick and before each use of {@link #netLoanRate}. */
    public List<ClusterAction> tick(long nowNanos) {
        pending.values().removeIf(request -> nowNanos - request.sentNanos() >= REQUEST_TIMEOUT_NANOS);
        if (leaseCount == 0) {
            return List.of();
        }
        List<Lease> expired = new ArrayList<>();
        for (List<Lease> ofOrganisation : leases.values()) {
            for (Lease lease : ofOrganisation) {
                if (nowNanos - lease.expiresAtNanos() >= 0) {
                    expired.add(lease);
                }
            }
        }
        expired.sort(Comparator.comparingLong(lease -> lease.expiresAtNanos() - nowNanos));
        List<ClusterAction> actions = new ArrayList<>();
        for (Lease lease : expired) {
            remove(lease);
            actions.add(netLoanRateChanged(lease.organisation(), lease.expiresAtNanos()));
        }
        return actions;
    }

    /**
     * Requests a loan of an organisation's limit from one of its home hosts. Does nothing while a request for the
     * organisation is pending or when the request rate limit is exceeded.
     *
     * @param homeHosts live home hosts of the organisation
     */
    public List<ClusterAction> request(
            OrganisationId organisation, long tokensPerSecond, List<Peer> homeHosts, long nowNanos) {
        List<Peer> lenders =
                homeHosts.stream().filter(home -> !home.host().equals(self)).toList();
        boolean alreadyPending = pending.values().stream()
                .anyMatch(request -> request.organisation().equals(organisation));
        if (lenders.isEmpty()
                || alreadyPending
                || tokensPerSecond <= 0
                || pending.size() >= MAX_PENDING
                || !tryUseRequestCredit(nowNanos)) {
            return List.of();
        }
        long requestId = nextRequestId++;
        Peer lender = lenders.get((int) Math.floorMod(requestId, (long) lenders.size()));
        pending.put(requestId, new PendingRequest(organisation, lender.host(), tokensPerSecond, nowNanos));
        return List.of(new ClusterAction.Send(
                lender.address(), new PeerMessage.LoanRequest(requestId, organisation, tokensPerSecond)));
    }

    /** Handles a loan message; other messages are ignored. */
    public List<ClusterAction> receive(Peer from, PeerMessage message, long nowNanos) {
        if (message instanceof PeerMessage.LoanRequest request) {
            return lend(request, nowNanos);
        }
        if (message instanceof PeerMessage.LoanGrant grant) {
            return borrow(from, grant, nowNanos);
        }
        return List.of();
    }

    private List<ClusterAction> lend(PeerMessage.LoanRequest request, long nowNanos) {
        List<ClusterAction> actions = new ArrayList<>(tick(nowNanos));
        long granted = leaseCount >= MAX_LEASES ? 0 : Math.min(request.tokensPerSecond(), lendable(request, nowNanos));
        if (granted > 0) {
            add(new Lease(request.organisation(), -granted, nowNanos + LEASE_NANOS + CLOCK_MARGIN_NANOS));
            actions.add(netLoanRateChanged(request.organisation(), nowNanos));
        }
        actions.add(new ClusterAction.Reply(new PeerMessage.LoanGrant(
                request.requestId(),
                request.organisation(),
                Math.max(0, granted),
                TimeUnit.NANOSECONDS.toMillis(LEASE_NANOS))));
        return actions;
    }

    private long lendable(PeerMessage.LoanRequest request, long nowNanos) {
        OrganisationId organisation = request.organisation();
        long lent = 0;
        for (Lease lease : leases.getOrDefault(organisation, List.of())) {
            lent += Math.min(0, lease.tokensPerSecond());
        }
        double unused = shares.ownTokensPerSecond(organisation, nowNanos)
                - shares.usedTokensPerSecond(organisation, nowNanos)
                + lent;
        return (long) Math.floor(Math.max(0, unused) * GRANT_FRACTION);
    }

    private List<ClusterAction> borrow(Peer from, PeerMessage.LoanGrant grant, long nowNanos) {
        PendingRequest request = pending.get(grant.requestId());
        boolean expected = request != null
                && request.lender().equals(from.host())
                && request.organisation().equals(grant.organisation())
                && grant.tokensPerSecond() <= request.tokensPerSecond();
        if (!expected) {
            return List.of();
        }
        pending.remove(grant.requestId());
        long leaseNanos = Math.min(LEASE_NANOS, TimeUnit.MILLISECONDS.toNanos(grant.leaseMs()));
        long expiresAtNanos = request.sentNanos() + leaseNanos;
        if (grant.tokensPerSecond() <= 0 || nowNanos - expiresAtNanos >= 0 || leaseCount >= MAX_LEASES) {
            return List.of();
        }
        List<ClusterAction> actions = new ArrayList<>(tick(nowNanos));
        add(new Lease(grant.organisation(), grant.tokensPerSecond(), expiresAtNanos));
        actions.add(netLoanRateChanged(grant.organisation(), nowNanos));
        return actions;
    }

    private ClusterAction netLoanRateChanged(OrganisationId organisation, long atNanos) {
        long net = 0;
        for (Lease lease : leases.getOrDefault(organisation, List.of())) {
            net += lease.tokensPerSecond();
        }
        return new ClusterAction.NetLoanRateChanged(organisation, net, atNanos);
    }

    private void add(Lease lease) {
        leases.computeIfAbsent(lease.organisation(), ignored -> new ArrayList<>())
                .add(lease);
        leaseCount++;
    }

    private void remove(Lease lease) {
        List<Lease> ofOrganisation = leases.get(lease.organisation());
        ofOrganisation.remove(lease);
        leaseCount--;
        if (ofOrganisation.isEmpty()) {
            leases.remove(lease.organisation());
        }
    }

    private boolean tryUseRequestCredit(long nowNanos) {
        long oldestCreditNanos = nowNanos - REQUEST_BURST * REQUEST_INTERVAL_NANOS;
        if (requestCreditFromNanos - oldestCreditNanos < 0) {
            requestCreditFromNanos = oldestCreditNanos;
        }
        if (nowNanos - requestCreditFromNanos < REQUEST_INTERVAL_NANOS) {
            return false;
        }
        requestCreditFromNanos += REQUEST_INTERVAL_NANOS;
        return true;
    }
}
