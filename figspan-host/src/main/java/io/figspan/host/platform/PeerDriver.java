package io.figspan.host.platform;

import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.control.leaving.LeavingSource;
import io.figspan.core.event.Part;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.OrganisationId;
import io.figspan.host.HostContext;
import io.figspan.host.entry.EntryDirectory;
import io.figspan.host.entry.LimitGate;
import io.figspan.host.peer.ConfigurationSource;
import io.figspan.host.peer.OrderHandler;
import io.figspan.host.peer.PeerNode;
import io.figspan.host.peer.PeerNodeConfig;
import io.figspan.host.peer.PeerNodeListener;
import io.figspan.host.peer.SettingsAdopter;
import io.figspan.policy.entry.EntryHost;
import io.figspan.wire.PeerKey;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Connects the protocols between hosts with the parts of this process that use them. */
public final class PeerDriver implements PeerNodeListener, LimitGate.Lenders {
    /** Addresses of processes that are no longer live are kept for tickets that they own. */
    private static final int MAX_KNOWN_PEERS = 2_048;

    private final HostContext context;
    private final LimitGate limits;
    private final EntryDirectory directory;
    private final Runnable onSuperseded;
    private final PeerNode node;
    private final Set<HostId> dead = new HashSet<>();
    private final Map<HostIncarnation, PeerAddress> addresses = new LinkedHashMap<>();

    public PeerDriver(
            HostContext context,
            LimitGate limits,
            EntryDirectory directory,
            SettingsAdopter adopter,
            OrderHandler orders,
            Runnable onSuperseded) {
        this.context = context;
        this.limits = limits;
        this.directory = directory;
        this.onSuperseded = onSuperseded;
        PeerAddress address =
                new PeerAddress(context.config().bindAddress(), context.config().peerPort());
        Peer self = new Peer(context.incarnation(), context.config().availabilityZone(), address);
        List<PeerAddress> seeds = context.config().seedPeers().stream()
                .map(seed -> new PeerAddress(seed.address(), seed.port()))
                .toList();
        PeerKey key = PeerKey.of(context.config().peerKey().utf8());
        this.node = new PeerNode(
                context.vertx(),
                context.vertx().getOrCreateContext(),
                PeerNodeConfig.of(self, seeds, key),
                new PeerNode.NodeServices(configuration(), adopter, orders, limits, this),
                context.clock(),
                context.timeline().clock(),
                context.random());
        context.backends().setLeavingListener(node::backendLeaving);
    }

    public PeerNode node() {
        return node;
    }

    public Completable start() {
        return node.start();
    }

    /** Address of a process, also of one that has left; its tickets may still be asked for there. */
    public Optional<PeerAddress> addressOf(HostIncarnation process) {
        return Optional.ofNullable(addresses.get(process));
    }

    @Override
    public void memberChanged(Peer peer, boolean live) {
        boolean full = addresses.size() >= MAX_KNOWN_PEERS && !addresses.containsKey(peer.incarnation());
        if (full) {
            addresses.remove(addresses.keySet().iterator().next());
        }
        addresses.put(peer.incarnation(), peer.address());
        if (live) {
            dead.remove(peer.host());
        } else {
            dead.add(peer.host());
        }
        directory.updateDead(dead);
        context.timeline().add(Part.MEMBER, live ? "live" : "gone", "", peer.toString());
    }

    @Override
    public void backendLeaving(BackendIncarnation backend) {
        context.timeline().add(Part.MEMBER, "backendLeaving", "", backend.toString());
        context.backends().onLeaving(backend, LeavingSource.GOSSIP);
    }

    @Override
    public void superseded(HostIncarnation newer) {
        onSuperseded.run();
    }

    @Override
    public void allowanceChanged(OrganisationId organisation, long tokensPerSecond, long atNanos) {
        context.timeline().add(Part.LIMIT, "allowance", "", organisation + " " + tokensPerSecond);
        limits.setAllowance(organisation, tokensPerSecond, atNanos);
    }

    @Override
    public boolean mayUseOwnShare() {
        return node.mayUseOwnShare();
    }

    @Override
    public void ask(OrganisationId organisation, long tokensPerSecond, List<EntryHost> homes) {
        List<Peer> liveHomes = new ArrayList<>();
        for (EntryHost home : homes) {
            boolean self = home.host().equals(context.config().hostId());
            if (!self) {
                node.view().liveAt(home.host()).ifPresent(liveHomes::add);
            }
        }
        if (!liveHomes.isEmpty()) {
            node.requestLoan(organisation, tokensPerSecond, liveHomes);
        }
    }

    private ConfigurationSource configuration() {
        return context.config()
                .configurationService()
                .<ConfigurationSource>map(address -> new ConfigurationServiceReader(
                        context.vertx(), address, context.settings()::recordRefusal, context.metrics()))
                .orElse(new NoConfigurationService());
    }

    /** Stands for the configuration service of a host whose file names none; its settings come from peers. */
    private static final class NoConfigurationService implements ConfigurationSource {
        @Override
        public Maybe<io.figspan.cluster.spread.SettingsContent> read() {
            return Maybe.empty();
        }

        @Override
        public Flowable<io.figspan.cluster.spread.SettingsContent> watch() {
            return Flowable.never();
        }
    }
}
