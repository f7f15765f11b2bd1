package io.figspan.control.steward;

import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.ModelId;
import io.figspan.core.id.SettingsVersion;

/** An order to one engine process; {@link #fence()} is its fencing token. */
public sealed interface ModelOrder {
    BackendIncarnation engine();

    SettingsVersion fence();

    /** Tells whether the order is harmless when it arrives late or twice, so that no fencing is needed. */
    default boolean isAdditive() {
        return this instanceof Load;
    }

    /** The same order with another fencing token. */
    ModelOrder withFence(SettingsVersion newFence);

    /** Tells whether both orders ask the same of the same engine process, whatever their fencing tokens. */
    default boolean hasSameEffect(ModelOrder other) {
        return withFence(other.fence()).equals(other);
    }

    /** Load a model, version or adapter besides what is loaded. */
    record Load(BackendIncarnation engine, SettingsVersion fence, ModelId model) implements ModelOrder {
        @Override
        public ModelOrder withFence(SettingsVersion newFence) {
            return new Load(engine, newFence, model);
        }
    }

    /** Drop a model, version or adapter. */
    record Unload(BackendIncarnation engine, SettingsVersion fence, ModelId model) implements ModelOrder {
        @Override
        public ModelOrder withFence(SettingsVersion newFence) {
            return new Unload(engine, newFence, model);
        }
    }

    /** Change what the engine does for prompts. */
    record SetRole(BackendIncarnation engine, SettingsVersion fence, EngineRole role) implements ModelOrder {
        @Override
        public ModelOrder withFence(SettingsVersion newFence) {
            return new SetRole(engine, newFence, role);
        }
    }
}
