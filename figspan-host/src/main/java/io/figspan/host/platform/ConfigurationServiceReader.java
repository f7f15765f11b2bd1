package io.figspan.host.platform;

import com.codahale.metrics.MetricRegistry;
import io.figspan.cluster.message.Bytes;
import io.figspan.cluster.spread.SettingsContent;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.SettingsVersion;
import io.figspan.host.BoundedResponse;
import io.figspan.host.peer.ConfigurationSource;
import io.figspan.settings.SettingsManifest;
import io.figspan.settings.SettingsPart;
import io.figspan.settings.cfg.PeerAddress;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * Reads and watches the settings at the configuration service: one long-polled watch of the manifest, then one read for
 * each part whose digest has changed, so that one change among 16,000 organisations costs one part. A part that does
 * not have the digest of the manifest fails the read, because the two were read between two writes.
 */
public final class ConfigurationServiceReader implements ConfigurationSource {
    private static final long READ_TIMEOUT_MS = 2_000;

    /** A watch that nothing changes is started again after this time, so that a dead connection is noticed. */
    private static final long WATCH_MS = 30_000;

    private static final Location LOCATION = Location.of("configuration service");
    private static final String INDEX_HEADER = "Config-Index";
    private static final int HTTP_OK = 200;

    /** A value has a megabyte at most. */
    private static final int MAX_VALUE_BYTES = 2 * 1_024 * 1_024;

    private static final int HTTP_NOT_MODIFIED = 304;
    private static final int HTTP_NOT_FOUND = 404;

    /** A value with its index; the text is empty for a missing key and for a watch that ran out. */
    private record Answer(Optional<String> text, long index) {}

    private final PlatformClient client;
    private final BiConsumer<SettingsVersion, Problem> refusals;
    private volatile Map<String, SettingsPart> lastParts = Map.of();

    /** {@code refusals} is told of a version that cannot be read whole. */
    public ConfigurationServiceReader(
            Vertx vertx, PeerAddress service, BiConsumer<SettingsVersion, Problem> refusals, MetricRegistry metrics) {
        this.refusals = refusals;
        this.client = new PlatformClient(vertx, service, metrics);
    }

    @Override
    public Maybe<SettingsContent> read() {
        return get(SettingsManifest.KEY, "", READ_TIMEOUT_MS).flatMapMaybe(this::fetch);
    }

    @Override
    public Flowable<SettingsContent> watch() {
        return watchFrom(0);
    }

    /** Waits for an index other than {@code seenIndex}, emits that version, and goes on from its index. */
    private Flowable<SettingsContent> watchFrom(long seenIndex) {
        String query = "?watch=" + seenIndex + "&waitMs=" + WATCH_MS;
        return get(SettingsManifest.KEY, query, WATCH_MS + READ_TIMEOUT_MS)
                .flatMapPublisher(answer ->
                        fetch(answer).toFlowable().concatWith(Flowable.defer(() -> watchFrom(answer.index()))));
    }

    private Maybe<SettingsContent> fetch(Answer answer) {
        if (answer.text().isEmpty()) {
            return Maybe.empty();
        }
        SettingsManifest manifest = SettingsManifest.fromJson(answer.text().get());
        return Flowable.fromIterable(manifest.parts())
                .concatMapSingle(part -> read(manifest.version(), part))
                .toMap(SettingsPart::name)
                .doOnSuccess(parts -> lastParts = Map.copyOf(parts))
                .map(parts -> content(manifest.version(), parts.values()))
                .toMaybe();
    }

    private Single<SettingsPart> read(SettingsVersion version, SettingsManifest.PartDigest wanted) {
        SettingsPart known = lastParts.get(wanted.name());
        if (known != null && known.sha256().equals(wanted.sha256())) {
            return Single.just(known);
        }
        return get(SettingsManifest.partKey(wanted.name()), "", READ_TIMEOUT_MS)
                .map(value -> checked(version, wanted, value));
    }

    private static SettingsContent content(SettingsVersion version, Collection<SettingsPart> parts) {
        SortedMap<String, Bytes> bytes = new TreeMap<>();
        parts.forEach(part -> bytes.put(part.name(), Bytes.wrap(part.utf8())));
        return new SettingsContent(version, bytes);
    }

    private SettingsPart checked(SettingsVersion version, SettingsManifest.PartDigest wanted, Answer answer) {
        byte[] bytes = answer.text().orElse("").getBytes(StandardCharsets.UTF_8);
        SettingsPart part = SettingsPart.of(wanted.name(), bytes);
        if (!part.sha256().equals(wanted.sha256())) {
            String detail = "part " + wanted.name() + " does not have the digest of the manifest";
            refusals.accept(version, Problem.notRun(ProblemKind.SETTINGS_INVALID, detail));
            throw new FigspanException(ProblemKind.SETTINGS_INVALID, detail, LOCATION);
        }
        return part;
    }

    private Single<Answer> get(String key, String query, long timeoutMs) {
        return Single.create(
                emitter -> client.get("/config/" + key + query, timeoutMs, ConfigurationServiceReader::answer)
                        .onSuccess(emitter::onSuccess)
                        .onFailure(emitter::tryOnError));
    }

    private static Future<Answer> answer(HttpClientResponse response) {
        long index = Long.parseLong(
                Optional.ofNullable(response.getHeader(INDEX_HEADER)).orElse("0"));
        return switch (response.statusCode()) {
            case HTTP_OK ->
                BoundedResponse.body(response, MAX_VALUE_BYTES)
                        .map(Buffer::toString)
                        .map(text -> new Answer(Optional.of(text), index));
            case HTTP_NOT_FOUND, HTTP_NOT_MODIFIED -> Future.succeededFuture(new Answer(Optional.empty(), index));
            default -> Future.failedFuture(failed("the service answered " + response.statusCode()));
        };
    }

    private static FigspanException failed(String detail) {
        return new FigspanException(ProblemKind.BACKEND_FAILED, detail, LOCATION);
    }
}
