package io.figspan.host.peer;

import io.figspan.cluster.spread.SettingsContent;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;

/** The configuration service as the peer node uses it. What it says may be stale. */
public interface ConfigurationSource {
    /** Reads the published version once; empty when nothing is published. */
    Maybe<SettingsContent> read();

    /**
     * Watches the service from subscription to disposal and emits each version with all its parts. An error ends the
     * watch; the node subscribes again after a jittered wait.
     */
    Flowable<SettingsContent> watch();
}
