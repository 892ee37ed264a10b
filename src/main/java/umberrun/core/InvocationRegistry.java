package umberrun.core;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import umberrun.core.InvocationEntry.Accepted;
import umberrun.core.InvocationEntry.Deleted;
import umberrun.core.InvocationEntry.Ended;
import umberrun.core.InvocationEntry.Joined;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;

/**
 * Runs synchronous and deferred invocations through the dispatch loop. Deferred ones wait in a
 * bounded queue of their own and only a limited number run at once, so that synchronous calls find
 * room however many deferred ones pile up. An idempotency key names one invocation: a retry with
 * the same key joins it and sends nothing to a worker.
 *
 * <p>Keys and results are promised by the front end, not by one of its processes: what is kept is
 * also written to the {@link InvocationJournal}, before anything is sent for it, and what other
 * processes wrote there is known here. Each invocation is run by the process that accepted it.
 */
public final class InvocationRegistry implements InvocationJournal.Reader {
  /** Thrown where an idempotency key was already used for a different call. */
  public static final class KeyReused extends Exception {
    private static final long serialVersionUID = 1;

    KeyReused() {
      super("the idempotency key was used for another call", null, false, false);
    }
  }

  /**
   * Limits of the registry.
   *
   * @param queue how many deferred invocations may wait
   * @param queueBytes total size of their bodies in bytes
   * @param inFlight how many deferred invocations run at once
   * @param results how many completed invocations are kept
   * @param resultBytes what completed invocations may take in memory, in bytes
   * @param keepMillis how long a result is kept, in milliseconds
   */
  public record Limits(
      int queue, long queueBytes, int inFlight, int results, long resultBytes, long keepMillis) {}

  private static final long OVERLOAD_BACKOFF_MILLIS = 1_000;

  /** Interval at which entries of other processes are read while nobody asks for them. */
  private static final long JOURNAL_POLL_MILLIS = 20;

  /** How late another process may end an invocation before those who wait here are answered. */
  private static final long OTHER_PROCESS_GRACE_MILLIS = 100;

  /** After how long more an invocation ends that its process, which is alive, does not end. */
  private static final long OVERDUE_MILLIS = 5_000;

  private final Vertx vertx;
  private final Clock clock;
  private final DispatchLoop dispatchLoop;
  private final Counters counters;
  private final HeldInvocations held;
  private final DeferredQueue queue;

  /** Invocations that this process runs, the oldest first; those in the queue do not count. */
  private final Set<Invocation> running = new LinkedHashSet<>();

  private InvocationJournal journal = InvocationJournal.NONE;

  /** Entries that could not be written yet. */
  private final ArrayDeque<InvocationEntry> unwritten = new ArrayDeque<>();

  /** Ids of the invocations of other processes that those entries end. */
  private final Set<String> unwrittenEnds = new HashSet<>();

  /**
   * Invocations that other processes were running when the live processes were last looked for. A
   * process that accepted one of them and is not found the next time has ended.
   */
  private List<Invocation> runningElsewhere = List.of();

  public InvocationRegistry(
      Vertx vertx, Clock clock, DispatchLoop dispatchLoop, Counters counters, Limits limits) {
    this.vertx = vertx;
    this.clock = clock;
    this.dispatchLoop = dispatchLoop;
    this.counters = counters;
    this.queue = new DeferredQueue(limits.queue, limits.queueBytes, limits.inFlight);
    long longestDedupWindow =
        dispatchLoop.settings().classes().stream().mapToLong(c -> c.dedupWindow()).max().orElse(0);
    this.held =
        new HeldInvocations(
            vertx,
            clock,
            counters,
            new InvocationRetention(limits.results, limits.resultBytes, longestDedupWindow),
            limits.keepMillis);
  }

  // ---------------------------------------------------------------- clients

  /**
   * Starts or queues an invocation, or joins the one that has the same idempotency key. Without
   * room for it, the invocation returned already has its result, a refusal.
   *
   * @param client the owner of the key: equal keys of different clients are different
   * @throws KeyReused if the key was used for a different call
   */
  public Submission submit(Request request, String client, boolean deferred) throws KeyReused {
    String scopedKey = request.key() == null ? null : Invocation.scopedKey(client, request.key());
    Invocation invocation =
        new Invocation(
            UUID.randomUUID().toString(),
            scopedKey,
            request,
            deferred,
            clock.now() + request.budget(),
            journal.process());
    if (!invocation.isKept()) {
      start(invocation);
      return new Submission(invocation, false);
    }
    // Another process must not accept the same key at the same time.
    if (!journal.lock()) {
      return new Submission(refuse(invocation), false);
    }
    try {
      Invocation existing = scopedKey == null ? null : held.findByKey(scopedKey);
      return existing == null
          ? new Submission(accept(invocation), false)
          : new Submission(join(existing, invocation), true);
    } finally {
      journal.unlock();
    }
  }

  private Invocation refuse(Invocation invocation) {
    counters.add(Count.DEFERRED_REFUSED);
    invocation.complete(new Result.Refused(OVERLOAD_BACKOFF_MILLIS, true));
    return invocation;
  }

  private Invocation join(Invocation existing, Invocation repeat) throws KeyReused {
    if (!existing.isSameCall(repeat)) {
      throw new KeyReused();
    }
    counters.add(Count.DEFERRED_JOINED);
    existing.collectable |= repeat.deferred;
    if (existing.call != null) {
      existing.call.setClientWaiting(true);
    }
    write(new Joined(existing.id(), repeat.deferred));
    return existing;
  }

  private Invocation accept(Invocation invocation) {
    boolean hasRoom =
        (!invocation.deferred || queue.hasRoomFor(invocation))
            && held.makeRoom()
            && journal.append(acceptedEntry(invocation));
    if (!hasRoom) {
      return refuse(invocation);
    }
    held.add(invocation);
    if (invocation.deferred) {
      counters.add(Count.DEFERRED_TAKEN);
      enqueue(invocation);
      startQueued();
    } else {
      start(invocation);
    }
    return invocation;
  }

  /** The invocation whose result can be collected under this id, or null. */
  public Invocation get(String id) {
    journal.poll();
    Invocation invocation = held.find(id);
    return invocation != null && invocation.collectable ? invocation : null;
  }

  /**
   * Cancels an invocation on request of its client. One that may have run keeps its key, so that a
   * retry is not sent again.
   */
  public void cancel(Invocation invocation) {
    boolean neverRan = queue.contains(invocation);
    if (invocation.result() == null) {
      finish(invocation, new Result.Cancelled());
      if (!neverRan) {
        return;
      }
    }
    writeUnderLock(new Deleted(invocation.id()));
    held.discard(invocation);
  }

  /**
   * Removes a waiter that has gone. Once the last one has, a call without a key is abandoned, as
   * nobody can ask for it again. For one with a key nothing more is sent until a retry joins it,
   * and attempts in flight may finish.
   */
  public void stopWaiting(Invocation invocation, ResultWaiter waiter) {
    invocation.removeWaiter(waiter);
    if (invocation.isAwaited() || invocation.result() != null || !invocation.local) {
      return;
    }
    if (invocation.scopedKey == null) {
      finish(invocation, new Result.Cancelled());
    } else {
      counters.add(Count.CALLS_UNATTENDED);
      invocation.call.setClientWaiting(false);
    }
  }

  // ---------------------------------------------------------------- invocations of this process

  private void enqueue(Invocation invocation) {
    queue.add(invocation);
    // A call that is still queued at its deadline never ran, so it is refused: a retry does no
    // harm.
    Result refused = new Result.Refused(OVERLOAD_BACKOFF_MILLIS, false);
    schedule(invocation, invocation.deadline, () -> finish(invocation, refused));
  }

  /** Sets the timer of an invocation. */
  private void schedule(Invocation invocation, long time, Runnable action) {
    invocation.timerId =
        vertx.setTimer(
            Math.max(1, (time - clock.now()) / 1_000),
            t -> {
              invocation.timerId = -1;
              action.run();
            });
  }

  private void startQueued() {
    for (Invocation next; (next = queue.startNext()) != null; ) {
      held.cancelTimer(next);
      start(next);
    }
  }

  private void start(Invocation invocation) {
    running.add(invocation);
    Request request =
        invocation.request().withBudget(Math.max(1, invocation.deadline - clock.now()));
    invocation.start(
        dispatchLoop.submit(
            request,
            new Reply() {
              @Override
              public void served(Buffer body) {
                finish(invocation, new Result.Served(body));
              }

              @Override
              public void refused(long backoffMillis) {
                finish(invocation, new Result.Refused(backoffMillis, false));
              }

              @Override
              public void failed(boolean timedOut) {
                finish(invocation, new Result.Failed(timedOut));
              }
            }));
  }

  /**
   * Has all who wait here be answered, since this process is about to end. Its own invocations end:
   * those that are queued never ran and are refused, the others fail. Those of other processes go
   * on, and whoever waits for them here is answered without their result.
   */
  public void endAll() {
    queue.waiting().forEach(i -> finish(i, new Result.Refused(OVERLOAD_BACKOFF_MILLIS, false)));
    List.copyOf(running).forEach(i -> finish(i, new Result.Failed(false)));
    List.copyOf(held.all()).forEach(Invocation::dismissWaiters);
  }

  /** Ends an invocation, unless it is over, and has the other processes know. */
  private void finish(Invocation invocation, Result result) {
    if (!invocation.isKept() && invocation.local) {
      complete(invocation, result, clock.now());
      return;
    }
    boolean locked = journal.lock();
    try {
      // Another process may have ended it; then that result counts.
      if (invocation.result() == null) {
        end(invocation, result, locked);
      }
    } finally {
      if (locked) {
        journal.unlock();
      }
    }
  }

  private void end(Invocation invocation, Result result, boolean locked) {
    long endedAt = clock.now();
    InvocationEntry entry = new Ended(invocation.id(), clock.toMachineTime(endedAt), result);
    if (locked && journal.append(entry)) {
      complete(invocation, result, endedAt);
    } else if (invocation.local) {
      unwritten.add(entry);
      complete(invocation, result, endedAt);
    } else if (unwrittenEnds.add(invocation.id())) {
      // The process that runs it may write its result first.
      unwritten.add(entry);
      invocation.answerWaiters(result);
    }
  }

  private void complete(Invocation invocation, Result result, long endedAt) {
    if (invocation.result() != null) {
      return;
    }
    queue.remove(invocation);
    if (running.remove(invocation)) {
      if (invocation.deferred) {
        queue.onRunEnded();
      }
      if (!invocation.call.isOver()) {
        dispatchLoop.abandon(invocation.call);
      }
    }
    if (held.find(invocation.id()) == invocation) {
      held.complete(invocation, result, endedAt);
    } else {
      invocation.complete(result);
    }
    startQueued();
  }

  // ---------------------------------------------------------------- other processes

  /** Shares the invocations with the other processes of this front end from now on. */
  public void share(InvocationJournal shared) {
    journal = shared;
    journal.poll();
    vertx.setPeriodic(JOURNAL_POLL_MILLIS, t -> exchange());
  }

  /** How many invocations other processes have accepted that are held here. */
  public int heldForOthers() {
    return (int) held.all().stream().filter(invocation -> !invocation.local).count();
  }

  private void exchange() {
    journal.poll();
    if (!unwritten.isEmpty() && journal.lock()) {
      while (!unwritten.isEmpty() && writeDelayed(unwritten.peek())) {
        unwritten.poll();
      }
      journal.unlock();
    }
  }

  /** Writes an entry that could not be written before; false if it still can't be. */
  private boolean writeDelayed(InvocationEntry entry) {
    boolean endsForeign = entry instanceof Ended && unwrittenEnds.contains(entry.id());
    if (!endsForeign) {
      return journal.append(entry);
    }
    Invocation invocation = held.find(entry.id());
    boolean isOver = invocation == null || invocation.result() != null;
    if (!isOver && !journal.append(entry)) {
      return false;
    }
    unwrittenEnds.remove(entry.id());
    apply(entry);
    return true;
  }

  /**
   * Ends the invocations of processes that have died. To be called at intervals.
   *
   * @param live the other processes of this front end that are alive
   */
  public void onLiveProcesses(Set<String> live) {
    for (Invocation invocation : runningElsewhere) {
      boolean isEnding = invocation.result() != null || unwrittenEnds.contains(invocation.id());
      if (!isEnding && !live.contains(invocation.process)) {
        counters.add(Count.INVOCATIONS_ORPHANED);
        finish(invocation, new Result.Failed(false));
      }
    }
    journal.poll();
    List<Invocation> foreign = new ArrayList<>();
    for (Invocation invocation : held.all()) {
      if (!invocation.local && invocation.result() == null) {
        foreign.add(invocation);
      }
    }
    runningElsewhere = foreign;
  }

  private void write(InvocationEntry entry) {
    if (!journal.append(entry)) {
      unwritten.add(entry);
    }
  }

  private void writeUnderLock(InvocationEntry entry) {
    if (journal.lock()) {
      write(entry);
      journal.unlock();
    } else {
      unwritten.add(entry);
    }
  }

  private Accepted acceptedEntry(Invocation invocation) {
    return new Accepted(
        invocation.id(),
        invocation.scopedKey,
        invocation.fingerprint,
        invocation.collectable,
        clock.toMachineTime(invocation.deadline),
        invocation.process);
  }

  @Override
  public void apply(InvocationEntry entry) {
    Invocation invocation = held.find(entry.id());
    if (entry instanceof Accepted accepted) {
      if (invocation == null) {
        hold(accepted);
      }
    } else if (invocation == null) {
      return;
    } else if (entry instanceof Joined joined) {
      invocation.collectable |= joined.collectable();
      invocation.joinedElsewhere = true;
      if (invocation.call != null) {
        invocation.call.setClientWaiting(true);
      }
    } else if (entry instanceof Ended ended) {
      // After a restart of the machine its clock begins anew.
      long endedAt = Math.min(clock.now(), clock.fromMachineTime(ended.endedAt()));
      complete(invocation, ended.result(), endedAt);
    } else if (invocation.result() != null) {
      held.discard(invocation);
    }
  }

  /** Holds an invocation that another process runs. */
  private void hold(Accepted accepted) {
    Invocation invocation = new Invocation(accepted, clock.fromMachineTime(accepted.deadline()));
    held.add(invocation);
    long graceMicros = OTHER_PROCESS_GRACE_MILLIS * 1_000;
    schedule(invocation, invocation.deadline + graceMicros, () -> onOverdue(invocation));
  }

  /**
   * Answers those who wait for an invocation whose process has not ended it at its deadline, as it
   * may stand still. The invocation itself ends later: a process that goes on may have a result.
   */
  private void onOverdue(Invocation invocation) {
    Result timedOut = new Result.Failed(true);
    long endAt = clock.now() + OVERDUE_MILLIS * 1_000;
    schedule(invocation, endAt, () -> finish(invocation, timedOut));
    invocation.answerWaiters(timedOut);
  }

  @Override
  public List<InvocationEntry> snapshot() {
    List<InvocationEntry> entries = new ArrayList<>();
    for (Invocation invocation : held.all()) {
      entries.add(acceptedEntry(invocation));
      if (invocation.result() != null) {
        entries.add(
            new Ended(
                invocation.id(), clock.toMachineTime(invocation.endedAt), invocation.result()));
      }
    }
    return entries;
  }

  @Override
  public long snapshotBytes() {
    return held.completedBytes();
  }
}
