"""The steps of a rollout, at which tests can inject faults."""

from fireflyward.steps import Step


class RolloutStep(Step):
    """Every step of a driver, in the order in which a rollout reaches them."""

    ROW_SEEN = "rollout: row seen"
    TAKE_OVER_SENT = "rollout: take over sent"
    TAKEN_OVER = "rollout: taken over"
    BEGIN_SENT = "rollout: begin sent"
    BEGUN = "rollout: begun"
    CLAIM_SENT = "rollout: claim sent"
    CLAIMED = "rollout: claimed"
    DRAINED = "rollout: drained"
    ORDER_SENT = "rollout: order sent"
    ORDER_TAKEN = "rollout: order taken"
    FOLLOWED = "rollout: followed by a later driver"
    ORDER_LOST = "rollout: order lost"
    CONFIRMED = "rollout: confirmed"
    ADVANCE_SENT = "rollout: advance sent"
    ADVANCED = "rollout: advanced"
    HOLD_SENT = "rollout: hold sent"
    HELD = "rollout: held"
    FINISH_SENT = "rollout: finish sent"
    FINISHED = "rollout: finished"


STEP_AFTER_WRITE = {
    RolloutStep.TAKE_OVER_SENT: RolloutStep.TAKEN_OVER,
    RolloutStep.BEGIN_SENT: RolloutStep.BEGUN,
    RolloutStep.CLAIM_SENT: RolloutStep.CLAIMED,
    RolloutStep.ADVANCE_SENT: RolloutStep.ADVANCED,
    RolloutStep.HOLD_SENT: RolloutStep.HELD,
    RolloutStep.FINISH_SENT: RolloutStep.FINISHED,
}
