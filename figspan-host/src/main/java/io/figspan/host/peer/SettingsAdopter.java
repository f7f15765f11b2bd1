package io.figspan.host.peer;

import io.figspan.cluster.spread.SettingsContent;
import io.reactivex.rxjava3.core.Single;

/** Validates a version and puts it in force on this host. */
@FunctionalInterface
public interface SettingsAdopter {
    /**
     * Emits true once the version is in force, and false when it is invalid, so that it is neither passed on nor
     * fetched again. It may work on another thread.
     */
    Single<Boolean> adopt(SettingsContent content);
}
