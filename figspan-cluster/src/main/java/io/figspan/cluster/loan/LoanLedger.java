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
 * Loans of unused limit shares between hosts, as rates for a bounded time. The lender gives up the rate before it sends
 * the grant and takes it back {@link #MARGIN_NANOS} after the lease; the borrower counts the lease from when it sent
 * the request. The request was sent before the grant, so the borrower stops first, whatever is lost, late or doubled,
 * and without comparing clocks. The lender's clock may run faster than the borrower's by the margin in one lease.
 *
 * <p>A process that starts at a seat does not know what its predecessor lent, so it must not use its share for
 * {@link #RESTART_WAIT_NANOS}. It is not thread-safe: one driver carries out the actions in order.
 */
public final class LoanLedger {
    /** Short, so that a lender gets its share back soon; long against a round trip of under a millisecond. */
    public static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Allows clocks that differ by a fifth of their rate, far more than any real ones. */
    public static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** After this time nothing that a predecessor lent is in use. */
    public static final long RESTART_WAIT_NANOS = LEASE_NANOS + MARGIN_NANOS;

    /** A lender that has not answered by then is not waited for. */
    private static final long ANSWER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Two requests a second and their answers cost 300 bytes a second of the budget of 2 KB. */
    private static final long REQUEST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final int REQUEST_BURST = 8;
    private static final int MAX_PENDING = 64;
    private static final int MAX_LEASES = 4_096;

    /** Part of the unused share that one grant takes, so that a renewal finds some left. */
    private static final double GRANT_FRACTION = 0.5;

    private final HostId self;
    private final LimitShares shares;
    private final Map<OrganisationId, List<Lease>> leases = new HashMap<>();
    private final Map<Long, Pending> pending = new LinkedHashMap<>();
    private int leaseCount;
    private long nextRequestId;
    private long requestCreditFromNanos;

    /** A rate that was lent (negative) or borrowed (positive) until a time. */
    private record Lease(OrganisationId organisation, long tokensPerSecond, long untilNanos) {}

    private record Pending(OrganisationId organisation, HostId lender, long tokensPerSecond, long sentNanos) {}

    /**
     * Creates an empty ledger.
     *
     * @param firstRequestId differs between processes at one seat, so that an answer to a predecessor is not taken;
     *     the incarnation number shifted left by 20 bits is such a number
     */
    public LoanLedger(HostId self, LimitShares shares, long firstRequestId, long nowNanos) {
        this.self = self;
        this.shares = shares;
        this.nextRequestId = firstRequestId;
        this.requestCreditFromNanos = nowNanos - REQUEST_BURST * REQUEST_INTERVAL_NANOS;
    }

    /** Net rate of all loans of an organisation at this time. */
    public long allowance(OrganisationId organisation, long nowNanos) {
        long net = 0;
        for (Lease lease : leases.getOrDefault(organisation, List.of())) {
            if (nowNanos - lease.untilNanos() < 0) {
                net += lease.tokensPerSecond();
            }
        }
        return net;
    }

    public int leaseCount() {
        return leaseCount;
    }

    /** Ends the leases that are over. The driver calls it on each tick and before each use of an allowance. */
    public List<ClusterAction> tick(long nowNanos) {
        pending.values().removeIf(request -> nowNanos - request.sentNanos() >= ANSWER_NANOS);
        if (leaseCount == 0) {
            return List.of();
        }
        List<Lease> ended = new ArrayList<>();
        for (List<Lease> ofOrganisation : leases.values()) {
            for (Lease lease : ofOrganisation) {
                if (nowNanos - lease.untilNanos() >= 0) {
                    ended.add(lease);
                }
            }
        }
        ended.sort(Comparator.comparingLong(lease -> lease.untilNanos() - nowNanos));
        List<ClusterAction> actions = new ArrayList<>();
        for (Lease lease : ended) {
            remove(lease);
            actions.add(allowanceChanged(lease.organisation(), lease.untilNanos()));
        }
        return actions;
    }

    /**
     * Asks one home host for more of an organisation's limit. Does nothing while a request for the organisation is
     * unanswered or the request budget is used up.
     *
     * @param homes live home hosts of the organisation
     */
    public List<ClusterAction> need(
            OrganisationId organisation, long tokensPerSecond, List<Peer> homes, long nowNanos) {
        List<Peer> lenders =
                homes.stream().filter(home -> !home.host().equals(self)).toList();
        boolean asked = pending.values().stream()
                .anyMatch(request -> request.organisation().equals(organisation));
        if (lenders.isEmpty() || asked || tokensPerSecond <= 0 || pending.size() >= MAX_PENDING || !spend(nowNanos)) {
            return List.of();
        }
        long requestId = nextRequestId++;
        Peer lender = lenders.get((int) Math.floorMod(requestId, (long) lenders.size()));
        pending.put(requestId, new Pending(organisation, lender.host(), tokensPerSecond, nowNanos));
        return List.of(new ClusterAction.Send(
                lender.address(), new PeerMessage.LoanRequest(requestId, organisation, tokensPerSecond)));
    }

    /** Takes a loan message; other kinds are ignored. */
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
            add(new Lease(request.organisation(), -granted, nowNanos + LEASE_NANOS + MARGIN_NANOS));
            actions.add(allowanceChanged(request.organisation(), nowNanos));
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
        Pending request = pending.get(grant.requestId());
        boolean expected = request != null
                && request.lender().equals(from.host())
                && request.organisation().equals(grant.organisation())
                && grant.tokensPerSecond() <= request.tokensPerSecond();
        if (!expected) {
            return List.of();
        }
        pending.remove(grant.requestId());
        long leaseNanos = Math.min(LEASE_NANOS, TimeUnit.MILLISECONDS.toNanos(grant.leaseMs()));
        long untilNanos = request.sentNanos() + leaseNanos;
        if (grant.tokensPerSecond() <= 0 || nowNanos - untilNanos >= 0 || leaseCount >= MAX_LEASES) {
            return List.of();
        }
        List<ClusterAction> actions = new ArrayList<>(tick(nowNanos));
        add(new Lease(grant.organisation(), grant.tokensPerSecond(), untilNanos));
        actions.add(allowanceChanged(grant.organisation(), nowNanos));
        return actions;
    }

    private ClusterAction allowanceChanged(OrganisationId organisation, long atNanos) {
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

    private boolean spend(long nowNanos) {
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
