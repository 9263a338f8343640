"""Timers: due actions run in order, and one alarm is requested at a time."""

from dunepulley.routing.timers import INFINITY, TimerQueue


def test_due_actions_run_by_time_and_then_in_the_order_of_scheduling():
    timers, ran = TimerQueue(), []
    for due_ms, name in ((20.0, "late"), (10.0, "first"), (10.0, "second"), (30.0, "not due")):
        timers.schedule(due_ms, lambda now, name=name: ran.append((name, now)))
    timers.run_due(9.9)
    assert not ran
    timers.run_due(25.0)
    assert ran == [("first", 25.0), ("second", 25.0), ("late", 25.0)]
    assert [timer.due_ms for timer in timers.entries] == [30.0]


def test_action_scheduled_while_actions_run_is_run_in_the_same_call():
    timers, ran = TimerQueue(), []

    def reschedule(now):
        ran.append(now)
        if len(ran) < 3:
            timers.schedule(now, reschedule)

    timers.schedule(5.0, reschedule)
    timers.run_due(7.0)
    assert ran == [7.0, 7.0, 7.0]


def test_new_alarm_is_requested_only_if_the_current_one_fires_too_late():
    timers = TimerQueue()
    assert timers.next_alarm() is None and timers.alarm_at_ms == INFINITY
    timers.schedule(50.0, lambda now: None)
    assert timers.next_alarm() == 50.0 and timers.token == 1
    # Later and equal due times need no new alarm.
    timers.schedule(60.0, lambda now: None)
    timers.schedule(50.0, lambda now: None)
    assert timers.next_alarm() is None
    timers.schedule(40.0, lambda now: None)
    assert timers.next_alarm() == 40.0 and timers.token == 2


def test_replaced_alarm_is_ignored():
    timers = TimerQueue()
    timers.schedule(50.0, lambda now: None)
    timers.next_alarm()
    timers.schedule(40.0, lambda now: None)
    timers.next_alarm()
    timers.alarm_fired(1)
    assert timers.next_alarm() is None and timers.alarm_at_ms == 40.0
    timers.alarm_fired(2)
    assert timers.next_alarm() == 40.0 and timers.token == 3
