package io.figspan.host.platform;

import io.figspan.cluster.message.Bytes;
import io.figspan.cluster.spread.SettingsContent;
import io.figspan.core.event.Part;
import io.figspan.host.HostContext;
import io.figspan.host.peer.SettingsAdopter;
import io.figspan.settings.SettingsManifest;
import io.figspan.settings.SettingsPart;
import io.reactivex.rxjava3.core.Single;
import java.util.List;
import java.util.Map;

/** Puts a settings version in force on this host and tells the parts that depend on it. */
public final class SettingsInForce implements SettingsAdopter {
    private final HostContext context;
    private final Runnable listener;

    /** {@code listener} runs on the event loop after each adoption. */
    public SettingsInForce(HostContext context, Runnable listener) {
        this.context = context;
        this.listener = listener;
    }

    @Override
    public Single<Boolean> adopt(SettingsContent content) {
        return Single.create(emitter -> context.vertx()
                .executeBlocking(() -> offer(content))
                .onSuccess(adopted -> {
                    if (adopted) {
                        context.timeline().add(Part.SETTINGS, "inForce", "", "version " + content.version());
                        listener.run();
                    }
                    emitter.onSuccess(adopted);
                })
                .onFailure(emitter::tryOnError));
    }

    private boolean offer(SettingsContent content) {
        List<SettingsPart> parts =
                content.parts().entrySet().stream().map(SettingsInForce::part).toList();
        SettingsManifest manifest = SettingsManifest.of(content.version().number(), parts);
        boolean adopted = context.settings().offer(manifest, parts).isOk();
        return adopted || context.settings().version().equals(content.version());
    }

    private static SettingsPart part(Map.Entry<String, Bytes> entry) {
        return SettingsPart.of(entry.getKey(), entry.getValue().toArray());
    }
}
