package io.figspan.core.error;

import java.util.Arrays;
import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

class ProblemKindTest {
    /** Guards against unnoticed changes to the kinds, statuses and remedies that callers' programs rely on. */
    @Test
    void theTableOfProblemKindsIsTheApprovedOne() {
        String table = Arrays.stream(ProblemKind.values())
                .map(kind -> kind.wireName() + " " + kind.httpStatus() + " " + kind.title() + " | " + kind.remedy())
                .collect(Collectors.joining("\n", "", "\n"));
        Approvals.verify(table);
    }
}
