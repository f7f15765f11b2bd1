package io.figspan.cluster.spread;

import io.figspan.cluster.action.ClusterAction;
import io.figspan.cluster.message.Bytes;
import io.figspan.cluster.message.PartChange;
import io.figspan.cluster.message.PartDigest;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.error.FigspanException;
import io.figspan.core.id.HostId;
import io.figspan.core.id.SettingsVersion;
import io.figspan.core.util.RendezvousHash;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Disseminates settings versions between hosts. Two hosts in each availability zone watch the configuration service;
 * the others learn of versions from peers and pull the changed parts. The version in force never decreases. Not
 * thread-safe: a single driver calls it and executes the returned actions in order.
 */
public final class SettingsGossip {
    /** Hosts per availability zone that watch the configuration service, from the design page. */
    static final int WATCHERS_PER_ZONE = 2;

    /** Peers that an adopted version is offered to at once, from the design page. */
    public static final int OFFER_FANOUT = 3;

    /** Time after the start, before jitter, in which only versions from peers are adopted. */
    static final long PEERS_ONLY_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** After this time without a chunk a pull requests single parts or another peer; four fit into the 3 s limit. */
    static final long PULL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Failed pulls after which a peer's offer is dropped, until it makes another one. */
    private static final int MAX_FAILED_PULLS = 3;

    /** Time after the transfer of a large part in which its version is offered again; a version takes 3 s to spread. */
    private static final long OFFER_AGAIN_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Mean wait before a busy peer is asked again; a reader of half a megabyte frees its slot after 0.3 s. */
    private static final long BUSY_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final long OFFER_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long READ_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Maximum size of the inline parts: enough for the deltas of one change, too small to delay a probe. */
    private static final int MAX_INLINE_BYTES = 65_536;

    private static final int MAX_OFFERS = 16;
    private static final int MAX_REJECTED = 16;
    private static final String RENDEZVOUS_KEY = "settings-watch";

    private final Peer self;
    private final List<PeerAddress> seeds;
    private final RandomGenerator random;
    private final ContentHistory history = new ContentHistory();
    private final Map<PeerAddress, Offer> offers = new LinkedHashMap<>();
    private final Set<SettingsVersion> rejected = new LinkedHashSet<>();
    private final TransferSlots transferSlots = new TransferSlots();
    private final long serviceTrustedFromNanos;
    private SettingsPullState pull;
    private SettingsContent pendingAdoption;
    private SettingsContent deferredServiceContent;
    private long nextOfferAtNanos;
    private long nextReadAtNanos;
    private boolean watching;
    private long offerAgainUntilNanos;
    private long nextOfferAgainAtNanos;

    /** A version that a peer has in force, the failed pulls of it from that peer, and when to ask a busy peer again. */
    private record Offer(SettingsVersion version, int failedPulls, long askAtNanos) {
        Offer afterFailedPull() {
            return new Offer(version, failedPulls + 1, askAtNanos);
        }

        Offer askedAgainAt(long atNanos) {
            return new Offer(version, failedPulls, atNanos);
        }
    }

    public SettingsGossip(Peer self, List<PeerAddress> seeds, RandomGenerator random, long nowNanos) {
        this.self = self;
        this.seeds = seeds.stream().filter(seed -> !seed.equals(self.address())).toList();
        this.random = random;
        this.nextOfferAtNanos = nowNanos;
        this.offerAgainUntilNanos = nowNanos;
        this.nextOfferAgainAtNanos = nowNanos;
        this.serviceTrustedFromNanos =
                this.seeds.isEmpty() ? nowNanos : nowNanos + PEERS_ONLY_NANOS + random.nextLong(PEERS_ONLY_NANOS / 4);
        this.nextReadAtNanos = serviceTrustedFromNanos;
    }

    public SettingsVersion inForce() {
        return history.newest().content().version();
    }

    public boolean isWatching() {
        return watching;
    }

    // Inputs

    /** Runs due timers. */
    public List<ClusterAction> tick(long nowNanos) {
        List<ClusterAction> actions = new ArrayList<>();
        if (pull != null && pull.isWaitingForSource()) {
            continuePullElsewhere(nowNanos, actions);
        } else if (pull != null && nowNanos - pull.progressAtNanos() >= PULL_TIMEOUT_NANOS) {
            retryPull(nowNanos, actions);
        }
        startPull(nowNanos, actions);
        boolean mayTrustService =
                inForce().isNewerThan(SettingsVersion.NONE) || nowNanos - serviceTrustedFromNanos >= 0;
        if (!mayTrustService) {
            offerToSeeds(nowNanos, actions);
            return actions;
        }
        if (deferredServiceContent != null && pull == null) {
            SettingsContent deferred = deferredServiceContent;
            deferredServiceContent = null;
            adopt(deferred, actions);
        }
        boolean needsFirstVersion = inForce().equals(SettingsVersion.NONE) && pull == null && pendingAdoption == null;
        if (needsFirstVersion && nowNanos - nextReadAtNanos >= 0) {
            nextReadAtNanos = nowNanos + READ_INTERVAL_NANOS / 2 + random.nextLong(READ_INTERVAL_NANOS);
            actions.add(new ClusterAction.ReadConfigurationService());
        }
        return actions;
    }

    /** Reselects the watchers of the configuration service from the live members of this host's zone. */
    public List<ClusterAction> zoneChanged(List<Peer> liveInZone) {
        List<HostId> hosts = liveInZone.stream().map(Peer::host).toList();
        List<HostId> order = RendezvousHash.order(RENDEZVOUS_KEY, hosts);
        boolean selected =
                order.subList(0, Math.min(WATCHERS_PER_ZONE, order.size())).contains(self.host());
        if (selected == watching) {
            return List.of();
        }
        watching = selected;
        return List.of(new ClusterAction.WatchConfigurationService(selected));
    }

    /** Handles a version read from the configuration service, which may be stale. */
    public List<ClusterAction> settingsRead(SettingsContent content, long nowNanos) {
        List<ClusterAction> actions = new ArrayList<>();
        boolean mayTrustService =
                inForce().isNewerThan(SettingsVersion.NONE) || nowNanos - serviceTrustedFromNanos >= 0;
        if (!mayTrustService) {
            deferredServiceContent = content;
            return actions;
        }
        adopt(content, actions);
        return actions;
    }

    /** Handles the version in force that a peer announced, and pulls it if it is newer. */
    public List<ClusterAction> versionSeen(Peer from, SettingsVersion version, long nowNanos) {
        List<ClusterAction> actions = new ArrayList<>();
        if (version.isNewerThan(inForce()) && !rejected.contains(version)) {
            if (offers.size() >= MAX_OFFERS) {
                offers.remove(offers.keySet().iterator().next());
            }
            Offer known = offers.get(from.address());
            boolean repeated = known != null && known.version().equals(version);
            offers.put(from.address(), new Offer(version, 0, repeated ? known.askAtNanos() : nowNanos));
            if (pull != null && pull.isWaitingForSource()) {
                continuePullElsewhere(nowNanos, actions);
            }
            startPull(nowNanos, actions);
        }
        return actions;
    }

    /** Handles a settings message; other messages are ignored. */
    public List<ClusterAction> receive(Peer from, PeerMessage message, long nowNanos) {
        List<ClusterAction> actions = new ArrayList<>();
        if (message instanceof PeerMessage.SettingsOffer offer) {
            if (inForce().isNewerThan(offer.version())) {
                actions.add(new ClusterAction.Reply(new PeerMessage.SettingsOffer(inForce())));
            }
            actions.addAll(versionSeen(from, offer.version(), nowNanos));
        } else if (message instanceof PeerMessage.SettingsPull request) {
            answerPull(request.have(), actions);
        } else if (message instanceof PeerMessage.SettingsPartPull request) {
            answerPartPull(from, request, nowNanos, actions);
        } else if (message instanceof PeerMessage.SettingsManifest manifest) {
            handleManifest(from, manifest, nowNanos, actions);
        } else if (message instanceof PeerMessage.SettingsPart part) {
            handlePart(from, part, nowNanos, actions);
        } else if (message instanceof PeerMessage.SettingsBusy busy) {
            handleBusy(from, busy, nowNanos, actions);
        }
        return actions;
    }

    /** Reports that the driver put the version of an {@link ClusterAction.AdoptSettings} in force. */
    public List<ClusterAction> adopted(SettingsVersion version, List<Peer> randomPeers, long nowNanos) {
        List<ClusterAction> actions = new ArrayList<>();
        if (pendingAdoption == null || !pendingAdoption.version().equals(version)) {
            return actions;
        }
        history.add(pendingAdoption);
        pendingAdoption = null;
        offers.values().removeIf(offer -> !offer.version().isNewerThan(version));
        offerTo(randomPeers, actions);
        startPull(nowNanos, actions);
        return actions;
    }

    /**
     * Whether to call {@link #offerAgain}: this host has a free slot and has read or served a large part of the version
     * in force so recently that other hosts may lack it.
     */
    public boolean isOfferDue(long nowNanos) {
        return pendingAdoption == null
                && nowNanos - offerAgainUntilNanos < 0
                && nowNanos - nextOfferAgainAtNanos >= 0
                && transferSlots.hasFree(nowNanos);
    }

    /** Offers the version in force to more peers. */
    public List<ClusterAction> offerAgain(List<Peer> randomPeers, long nowNanos) {
        nextOfferAgainAtNanos = nowNanos + OFFER_INTERVAL_NANOS;
        List<ClusterAction> actions = new ArrayList<>();
        offerTo(randomPeers, actions);
        return actions;
    }

    private void offerAgainSoon(long nowNanos) {
        offerAgainUntilNanos = nowNanos + OFFER_AGAIN_NANOS;
        nextOfferAgainAtNanos = nowNanos;
    }

    private void offerTo(List<Peer> randomPeers, List<ClusterAction> actions) {
        for (Peer peer : randomPeers.subList(0, Math.min(OFFER_FANOUT, randomPeers.size()))) {
            actions.add(new ClusterAction.Send(peer.address(), new PeerMessage.SettingsOffer(inForce())));
        }
    }

    /** Reports that the driver found a version invalid. It is not pulled again; the version in force is unchanged. */
    public void rejected(SettingsVersion version) {
        if (pendingAdoption != null && pendingAdoption.version().equals(version)) {
            pendingAdoption = null;
        }
        if (rejected.size() >= MAX_REJECTED) {
            rejected.remove(rejected.iterator().next());
        }
        rejected.add(version);
        offers.values().removeIf(offer -> offer.version().equals(version));
    }

    // Pulling

    private void offerToSeeds(long nowNanos, List<ClusterAction> actions) {
        if (seeds.isEmpty() || nowNanos - nextOfferAtNanos < 0 || pull != null || pendingAdoption != null) {
            return;
        }
        nextOfferAtNanos = nowNanos + OFFER_INTERVAL_NANOS;
        int first = random.nextInt(seeds.size());
        for (int i = 0; i < Math.min(OFFER_FANOUT, seeds.size()); i++) {
            PeerAddress seed = seeds.get((first + i) % seeds.size());
            actions.add(new ClusterAction.Send(seed, new PeerMessage.SettingsOffer(SettingsVersion.NONE)));
        }
    }

    private void startPull(long nowNanos, List<ClusterAction> actions) {
        if (pull != null || pendingAdoption != null || offers.isEmpty()) {
            return;
        }
        SettingsVersion newest = offers.values().stream()
                .map(Offer::version)
                .max(Comparator.naturalOrder())
                .orElseThrow();
        PeerAddress source = chooseSource(newest, nowNanos).orElse(null);
        if (source == null) {
            return;
        }
        pull = new SettingsPullState(source, history, nowNanos);
        actions.add(new ClusterAction.Send(source, new PeerMessage.SettingsPull(inForce())));
    }

    private void retryPull(long nowNanos, List<ClusterAction> actions) {
        Optional<PeerMessage> next = pull.stopWaitingForInlineParts(nowNanos);
        if (next.isPresent()) {
            actions.add(new ClusterAction.Send(pull.source(), next.get()));
            return;
        }
        offers.computeIfPresent(
                pull.source(),
                (source, offer) -> offer.failedPulls() + 1 >= MAX_FAILED_PULLS ? null : offer.afterFailedPull());
        if (pull.isWaitingForManifest()) {
            pull = null;
        } else {
            continuePullElsewhere(nowNanos, actions);
        }
    }

    /** Continues a pull at a peer that is not busy, with the parts that have arrived. */
    private void continuePullElsewhere(long nowNanos, List<ClusterAction> actions) {
        SettingsVersion version = pull.version();
        boolean superseded =
                offers.values().stream().anyMatch(offer -> offer.version().isNewerThan(version));
        boolean offered =
                offers.values().stream().anyMatch(offer -> offer.version().equals(version));
        if (superseded || !offered) {
            pull = null;
            return;
        }
        PeerAddress source = chooseSource(version, nowNanos).orElse(null);
        if (source == null) {
            pull.waitForSource();
            return;
        }
        pull.continueAt(source, nowNanos).ifPresent(next -> actions.add(new ClusterAction.Send(source, next)));
    }

    /** A random peer that offers this version and is not busy, among those with the fewest failed pulls. */
    private Optional<PeerAddress> chooseSource(SettingsVersion version, long nowNanos) {
        List<Map.Entry<PeerAddress, Offer>> idle = offers.entrySet().stream()
                .filter(entry -> entry.getValue().version().equals(version))
                .filter(entry -> nowNanos - entry.getValue().askAtNanos() >= 0)
                .toList();
        if (idle.isEmpty()) {
            return Optional.empty();
        }
        int fewestFailed = idle.stream()
                .mapToInt(entry -> entry.getValue().failedPulls())
                .min()
                .orElseThrow();
        List<PeerAddress> best = idle.stream()
                .filter(entry -> entry.getValue().failedPulls() == fewestFailed)
                .map(Map.Entry::getKey)
                .toList();
        return Optional.of(best.get(random.nextInt(best.size())));
    }

    private void handleBusy(Peer from, PeerMessage.SettingsBusy busy, long nowNanos, List<ClusterAction> actions) {
        boolean expected = pull != null
                && !pull.isWaitingForSource()
                && from.address().equals(pull.source())
                && busy.version().equals(pull.version());
        if (!expected) {
            return;
        }
        long askAtNanos = nowNanos + BUSY_RETRY_NANOS / 2 + random.nextLong(BUSY_RETRY_NANOS);
        offers.computeIfPresent(pull.source(), (source, offer) -> offer.askedAgainAt(askAtNanos));
        continuePullElsewhere(nowNanos, actions);
    }

    private void handleManifest(
            Peer from, PeerMessage.SettingsManifest manifest, long nowNanos, List<ClusterAction> actions) {
        boolean expected =
                pull != null && pull.isWaitingForManifest() && from.address().equals(pull.source());
        if (!expected) {
            return;
        }
        if (!manifest.version().isNewerThan(inForce()) || rejected.contains(manifest.version())) {
            abandonPull(nowNanos, actions);
            return;
        }
        try {
            pull.handleManifest(manifest, nowNanos);
            continuePull(nowNanos, actions);
        } catch (FigspanException e) {
            failPull(manifest.version(), e, nowNanos, actions);
        }
    }

    private void handlePart(Peer from, PeerMessage.SettingsPart part, long nowNanos, List<ClusterAction> actions) {
        boolean expected = pull != null
                && from.address().equals(pull.source())
                && part.version().equals(pull.version());
        if (!expected) {
            return;
        }
        try {
            if (pull.handlePart(part, nowNanos)) {
                continuePull(nowNanos, actions);
            }
        } catch (FigspanException e) {
            failPull(part.version(), e, nowNanos, actions);
        }
    }

    private void continuePull(long nowNanos, List<ClusterAction> actions) {
        if (pull.isComplete()) {
            SettingsContent content = pull.content();
            if (pull.hasRequestedParts()) {
                offerAgainSoon(nowNanos);
            }
            pull = null;
            adopt(content, actions);
            return;
        }
        PeerAddress source = pull.source();
        pull.nextPartPull().ifPresent(next -> actions.add(new ClusterAction.Send(source, next)));
    }

    private void failPull(SettingsVersion version, FigspanException cause, long nowNanos, List<ClusterAction> actions) {
        actions.add(new ClusterAction.SettingsPullFailed(version, cause.detail()));
        abandonPull(nowNanos, actions);
    }

    private void abandonPull(long nowNanos, List<ClusterAction> actions) {
        offers.remove(pull.source());
        pull = null;
        startPull(nowNanos, actions);
    }

    private void adopt(SettingsContent content, List<ClusterAction> actions) {
        boolean outdated = !content.version().isNewerThan(inForce())
                || (pendingAdoption != null && !content.version().isNewerThan(pendingAdoption.version()));
        if (outdated || rejected.contains(content.version())) {
            return;
        }
        pendingAdoption = content;
        actions.add(new ClusterAction.AdoptSettings(content));
    }

    // Answering

    private void answerPull(SettingsVersion have, List<ClusterAction> actions) {
        ContentHistory.Entry newest = history.newest();
        if (!newest.content().version().isNewerThan(have)) {
            actions.add(new ClusterAction.Reply(new PeerMessage.SettingsOffer(inForce())));
            return;
        }
        ContentHistory.Entry base = history.find(have).orElse(new ContentHistory.Entry(SettingsContent.NONE, Map.of()));
        List<PartDigest> changed = ContentHistory.changed(base.digests(), newest.digests());
        List<String> removed = base.digests().keySet().stream()
                .filter(name -> !newest.digests().containsKey(name))
                .toList();
        List<PartChange> inline = inlineParts(changed, base, newest);
        actions.add(new ClusterAction.Reply(new PeerMessage.SettingsManifest(
                newest.content().version(), base.content().version(), inline.size(), changed, removed)));
        for (PartChange change : inline) {
            actions.add(new ClusterAction.Reply(
                    new PeerMessage.SettingsPart(newest.content().version(), change)));
        }
    }

    private List<PartChange> inlineParts(
            List<PartDigest> changed, ContentHistory.Entry base, ContentHistory.Entry newest) {
        List<PartChange> inline = new ArrayList<>();
        int bytes = 0;
        for (PartDigest part : changed) {
            Bytes baseDigest = base.digests().getOrDefault(part.name(), Bytes.EMPTY);
            Bytes target = newest.content().parts().get(part.name());
            boolean tooLarge = baseDigest.size() == 0 && target.size() > MAX_INLINE_BYTES;
            if (tooLarge) {
                break;
            }
            PartChange change = history.encode(part.name(), part.digest(), target, baseDigest);
            bytes += change.content().size();
            if (bytes > MAX_INLINE_BYTES) {
                break;
            }
            inline.add(change);
        }
        return inline;
    }

    private void answerPartPull(
            Peer from, PeerMessage.SettingsPartPull request, long nowNanos, List<ClusterAction> actions) {
        ContentHistory.Entry entry = history.find(request.version()).orElse(null);
        if (entry == null) {
            actions.add(new ClusterAction.Reply(new PeerMessage.SettingsOffer(inForce())));
            return;
        }
        Bytes digest = entry.digests().get(request.name());
        if (digest == null) {
            return;
        }
        if (!transferSlots.admit(from.address(), nowNanos)) {
            actions.add(new ClusterAction.Reply(new PeerMessage.SettingsBusy(request.version())));
            return;
        }
        Bytes target = entry.content().parts().get(request.name());
        PartChange change = history.encode(request.name(), digest, target, request.base());
        answerChunk(from, request, change, nowNanos, actions);
    }

    private void answerChunk(
            Peer from,
            PeerMessage.SettingsPartPull request,
            PartChange change,
            long nowNanos,
            List<ClusterAction> actions) {
        int encodedBytes = change.content().size();
        int offset = request.offsetBytes();
        if (offset < 0 || offset >= encodedBytes) {
            return;
        }
        int end = Math.min(offset + PartAssembly.CHUNK_BYTES, encodedBytes);
        Bytes chunk = Bytes.wrap(Arrays.copyOfRange(change.content().unsafeArray(), offset, end));
        PartChange part = new PartChange(change.name(), change.digest(), change.base(), chunk);
        actions.add(
                new ClusterAction.Reply(new PeerMessage.SettingsPart(request.version(), part, offset, encodedBytes)));
        if (request.lastPart() && end == encodedBytes) {
            transferSlots.release(from.address());
            offerAgainSoon(nowNanos);
        }
    }
}
