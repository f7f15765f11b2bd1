package io.figspan.policy.dispatch;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.policy.admission.AdmissionPolicy;
import io.figspan.policy.placement.GroupPlacement;
import io.figspan.policy.placement.LengthAwarePlacement;

/**
 * Parameters of {@link PromptDispatcher}.
 *
 * @param placement policy that chooses one engine
 * @param groups policy that chooses a group of engines
 * @param firstTokenMs constant part of the limit on the predicted time to first token, in milliseconds; a prompt above
 *     the limit is refused
 * @param firstTokenSlowdown part of that limit that grows with the prompt, as a multiple of its prefill time on an idle
 *     engine
 * @param priorityDelayFactor delay that a prompt gets in the engine's priority order, as a multiple of its prefill time
 *     on an idle engine; 0 is first come, first served. The time already spent on the host is deducted at any value.
 * @param spareBacklogMs mean backlog of the engines, in milliseconds of prefill, up to which the rate limits of
 *     organisations are not enforced
 * @param admissionMargin factor by which predicted times are multiplied before they are compared with the time left
 * @param queueCapacity maximum number of prompts in each queue of the host
 */
public record DispatchSettings(
        LengthAwarePlacement placement,
        GroupPlacement groups,
        long firstTokenMs,
        double firstTokenSlowdown,
        double priorityDelayFactor,
        long spareBacklogMs,
        double admissionMargin,
        int queueCapacity) {
    public static final DispatchSettings DEFAULT = new DispatchSettings(
            LengthAwarePlacement.DEFAULT,
            GroupPlacement.DEFAULT,
            1_400,
            4,
            30,
            500,
            AdmissionPolicy.DEFAULT_MARGIN,
            1_024);

    public DispatchSettings {
        boolean negative = firstTokenSlowdown < 0 || priorityDelayFactor < 0 || spareBacklogMs < 0;
        if (negative || firstTokenMs < 1 || admissionMargin < 1 || queueCapacity < 1) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE,
                    "firstTokenMs, admissionMargin and queueCapacity must be at least 1 and the others not negative",
                    Location.of("dispatch"));
        }
    }

    public DispatchSettings withPlacement(LengthAwarePlacement newPlacement) {
        return new DispatchSettings(
                newPlacement,
                groups,
                firstTokenMs,
                firstTokenSlowdown,
                priorityDelayFactor,
                spareBacklogMs,
                admissionMargin,
                queueCapacity);
    }

    public DispatchSettings withAdmissionMargin(double newAdmissionMargin) {
        return new DispatchSettings(
                placement,
                groups,
                firstTokenMs,
                firstTokenSlowdown,
                priorityDelayFactor,
                spareBacklogMs,
                newAdmissionMargin,
                queueCapacity);
    }
}
