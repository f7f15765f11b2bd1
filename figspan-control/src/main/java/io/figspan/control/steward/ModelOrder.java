package io.figspan.control.steward;

import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.ModelId;
import io.figspan.core.id.SettingsVersion;

/** An order to one engine process; {@link #fence()} is the fencing token. */
public sealed interface ModelOrder {
    BackendIncarnation engine();

    SettingsVersion fence();

    /** Returns whether the order is safe without fencing, because it does no harm if it arrives late or twice. */
    default boolean isAdditive() {
        return this instanceof Load;
    }

    /** Returns a copy with another fencing token. */
    ModelOrder withFence(SettingsVersion newFence);

    /** Returns whether both orders are equal apart from their fencing tokens. */
    default boolean hasSameEffect(ModelOrder other) {
        return withFence(other.fence()).equals(other);
    }

    /** Load a model, model version or adapter in addition to those already loaded. */
    record Load(BackendIncarnation engine, SettingsVersion fence, ModelId model) implements ModelOrder {
        @Override
        public ModelOrder withFence(SettingsVersion newFence) {
            return new Load(engine, newFence, model);
        }
    }

    /** Unload a model, model version or adapter. */
    record Unload(BackendIncarnation engine, SettingsVersion fence, ModelId model) implements ModelOrder {
        @Override
        public ModelOrder withFence(SettingsVersion newFence) {
            return new Unload(engine, newFence, model);
        }
    }

    /** Change the role of the engine. */
    record SetRole(BackendIncarnation engine, SettingsVersion fence, EngineRole role) implements ModelOrder {
        @Override
        public ModelOrder withFence(SettingsVersion newFence) {
            return new SetRole(engine, newFence, role);
        }
    }
}
