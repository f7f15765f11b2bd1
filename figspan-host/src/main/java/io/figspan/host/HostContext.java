package io.figspan.host;

import com.codahale.metrics.MetricRegistry;
import io.figspan.control.token.TokenKeys;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.StreamId;
import io.figspan.core.time.MonotonicClock;
import io.figspan.host.backend.BackendTable;
import io.figspan.host.backend.EngineClient;
import io.figspan.host.backend.HoldDriver;
import io.figspan.host.operator.Timeline;
import io.figspan.policy.entry.EntryHost;
import io.figspan.settings.SettingKey;
import io.figspan.settings.SettingsHolder;
import io.figspan.settings.SettingsTree;
import io.figspan.settings.cfg.HostConfig;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

/**
 * What the parts of one process share.
 *
 * @param clock monotonic clock of deadlines and load views
 */
public record HostContext(
        HostConfig config,
        HostIncarnation incarnation,
        Vertx vertx,
        MonotonicClock clock,
        RandomGenerator random,
        SettingsHolder settings,
        Timeline timeline,
        MetricRegistry metrics,
        BackendTable backends,
        EngineClient engines,
        HoldDriver holds,
        AtomicLong sequence) {
    public long nowNanos() {
        return clock.nowNanos();
    }

    public SettingsTree tree() {
        return settings.tree();
    }

    /** The seats of the roster in force, which home hosts follow from. */
    public List<EntryHost> seats() {
        return tree().roster().stream()
                .map(seat -> new EntryHost(seat.host(), seat.availabilityZone()))
                .toList();
    }

    /** A stream id that no process has used before. */
    public StreamId newStream() {
        return StreamId.of(incarnation.host() + "-" + incarnation.number() + "-" + sequence.incrementAndGet());
    }

    /** Keys of resume tokens and tickets: the one of the host file, else the one of the settings. */
    public TokenKeys tokenKeys() {
        byte[] key = config.tokenKey().isPresent()
                ? config.tokenKey().utf8()
                : tree().fleet().secret(SettingKey.TOKEN_KEY).utf8();
        return TokenKeys.of(key);
    }

    public void count(String name) {
        metrics.counter(name).inc();
    }
}
