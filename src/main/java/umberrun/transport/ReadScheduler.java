package umberrun.transport;

import io.netty.channel.EventLoop;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import umberrun.stats.EventLoopMeter;

/**
 * Shares the time of the event loop among all connections: each reads in its turn only. The
 * listeners, and all connections that this process opens, get equal shares; within each of them the
 * connections share as {@link ReadGroup} says. Between two runs of turns the event loop polls all
 * sockets and runs its other tasks. To be used on the thread of the event loop only.
 */
public final class ReadScheduler {
  /** Turns are taken for so long before the event loop goes on with its other work. */
  private static final long RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(4);

  /**
   * So many turns are taken in any case. When few connections have input, all of it is read before
   * the timers that are due, also by a process that is late.
   */
  private static final int MIN_TURNS = 8;

  /** Stands for the owner of the connections that this process opens. */
  private static final Object OUTBOUND = new Object();

  /** A listener, or all connections that this process opens. */
  private static final class Owner {
    private final ReadGroup<ScheduledSocketChannel> group = new ReadGroup<>();
    private final FairQueue.Flow<Owner> flow = new FairQueue.Flow<>(this, 1);
  }

  private final EventLoopMeter meter;
  private final Map<Object, Owner> owners = new IdentityHashMap<>();
  private final FairQueue<Owner> waitingOwners = new FairQueue<>();

  /** Whether what was read before still waits to be worked off, so that nothing more is read. */
  private BooleanSupplier backlogged = () -> false;

  private boolean scheduled;

  /** Creates a scheduler that has the meter measure the turns. */
  public ReadScheduler(EventLoopMeter meter) {
    this.meter = meter;
  }

  /** Sets what tells that enough is in hand, so that the next turns wait. */
  public void setBacklogged(BooleanSupplier condition) {
    backlogged = condition;
  }

  /** What measures the event loop. */
  EventLoopMeter meter() {
    return meter;
  }

  /** The place of a connection among those of its owner. */
  ReadGroup.Member<ScheduledSocketChannel> join(ScheduledSocketChannel channel) {
    return new ReadGroup.Member<>(ownerOf(channel).group, channel);
  }

  /** Has a connection wait for its turn. */
  void enqueue(ScheduledSocketChannel channel) {
    Owner owner = ownerOf(channel);
    owner.group.add(channel.member());
    waitingOwners.add(owner.flow);
    if (!scheduled) {
      scheduled = true;
      EventLoop loop = channel.eventLoop();
      loop.execute(() -> run(loop));
    }
  }

  private Owner ownerOf(ScheduledSocketChannel channel) {
    Object key = channel.parent() == null ? OUTBOUND : channel.parent();
    return owners.computeIfAbsent(key, o -> new Owner());
  }

  private void run(EventLoop loop) {
    long startedAt = System.nanoTime();
    int turns = 0;
    while (!waitingOwners.isEmpty()
        && (turns < MIN_TURNS || System.nanoTime() - startedAt < RUN_NANOS)
        && !backlogged.getAsBoolean()) {
      serveNext();
      turns++;
    }
    scheduled = !waitingOwners.isEmpty();
    if (scheduled) {
      // Tasks run until none is left, whereas a scheduled one runs after the sockets were polled.
      loop.schedule(() -> run(loop), 1, TimeUnit.NANOSECONDS);
    }
  }

  /** Gives a turn to the next connection. */
  private void serveNext() {
    Owner owner = waitingOwners.poll().owner();
    ScheduledSocketChannel channel = owner.group.poll().connection();
    meter.run(channel, channel::takeTurn);
    if (channel.isWaiting()) {
      owner.group.add(channel.member());
    }
    if (!owner.group.isEmpty()) {
      waitingOwners.add(owner.flow);
    }
  }

  /** Charges a connection, and its owner, for work on its behalf. */
  void charge(ScheduledSocketChannel channel, long nanos) {
    channel.member().charge(nanos);
    ownerOf(channel).flow.charge(nanos);
  }
}
