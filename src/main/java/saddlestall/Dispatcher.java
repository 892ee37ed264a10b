package saddlestall;

import java.util.List;
import java.util.function.Consumer;

/**
 * The interface of the decision module: settings, events and actions of one front end. Types only,
 * no logic.
 *
 * <p>The embedding front end calls {@link #handle} from one thread, with events in the order in
 * which they happened and a clock that never goes back, and carries out the actions in the order
 * given. It owes exactly one {@link Outcome} for each {@link Send} and one {@link Loaded} for each
 * {@link Hold}. All times are in microseconds; an absent number is 0.
 */
public interface Dispatcher {

  /** Takes one event at clock time {@code now} and passes the actions it leads to, in order. */
  void handle(long now, Event event, Consumer<Action> actions);

  /** Passes on what this module saw for itself, as others would be told of it. */
  void recall(long now, Consumer<Known> facts);

  // ---------------------------------------------------------------- settings

  /**
   * What one front end is told at its start. Places, classes and tenants are known by position
   * only.
   */
  record Settings(
      int index,
      int siblings,
      int zone,
      List<CallClass> classes,
      List<Tenant> tenants,
      double overShareWorth,
      boolean worthByWork,
      boolean listOnRequest,
      WeightKind weightKind,
      List<Double> kindMemoryMb,
      Limits limits,
      Rules rules,
      Loads loads,
      Report report,
      Costs costs) {

    /**
     * A worker's size against the others', as its rating or else its kind's memory tells it; 1
     * where neither does.
     */
    double size(Member m) {
      double memory = 1;
      if (m.kind() < kindMemoryMb.size() && kindMemoryMb.get(m.kind()) > 0) {
        memory =
            kindMemoryMb.get(m.kind())
                / kindMemoryMb.stream().mapToDouble(x -> x).average().orElse(1);
      }
      boolean rated = weightKind == WeightKind.NOMINAL || weightKind == WeightKind.ROUGH;
      return rated && m.rating() > 0 ? m.rating() : memory;
    }
  }

  /** One class of calls. {@code group} and {@code dedupWindow} matter for keyed classes only. */
  record CallClass(
      long aim,
      double aimStretch,
      long giveUp,
      Effect effect,
      Group group,
      long dedupWindow,
      double worth,
      double lateWorth,
      boolean stream) {}

  /** A tenant's share: calls per second over all front ends. */
  record Tenant(double fraction, double quotaPerSecond) {}

  /** What the site allows. */
  record Limits(
      boolean cancel,
      boolean secondCopy,
      boolean probe,
      boolean peers,
      boolean retryAfter,
      long maxRetryAfter,
      int maxAttempts,
      long connectTimeout) {}

  /**
   * Figures of the rules; {@code coldFrom} is the share of its capacity that a cold worker starts
   * with.
   */
  record Rules(
      long answerSlack,
      long askEvery,
      long drainGrace,
      long cold,
      double coldFrom,
      long fall,
      double fallMultiple) {

    /** Whether a worker that came up then may still fall over. */
    boolean isCold(long now, long cameUp) {
      return cameUp > 0 && now - cameUp < cold && fallMultiple > 0;
    }

    /** The part of its capacity that it has by now, at the least. */
    double grown(long now, long cameUp) {
      return isCold(now, cameUp)
          ? coldFrom + (1 - coldFrom) * Math.max(0, (now - cameUp) / (double) cold)
          : 1;
    }
  }

  /** Loading of functions. {@code window} 0: orders to load are not rationed. */
  record Loads(
      boolean loadsOnMiss,
      boolean mayOrder,
      long window,
      double free,
      double perCall,
      long keep,
      boolean warmNotes,
      boolean crowdCounts,
      double idlePrice) {}

  /** Which values load reports hold, by position, and how they come. */
  record Report(Via via, List<Field> fields) {}

  /** Points of the result for each unit; used only to weigh what is optional. */
  record Costs(
      double probe, double crossZone, double waste, double lateFail, double origin, double peer) {}

  /** What a repeat of a call may do: no harm, none under its key for a while, or harm. */
  enum Effect {
    SAFE,
    KEYED,
    UNSAFE
  }

  /** Which workers drop a repeat of a keyed call. */
  enum Group {
    ALL,
    ZONE,
    CELL
  }

  /** What the rating of a worker on the list means. */
  enum WeightKind {
    SILENT,
    NOMINAL,
    ROUGH,
    LIVE
  }

  /** How load reports come. */
  enum Via {
    ANSWERS,
    PROBES,
    NONE
  }

  /** What a value of a load report is. */
  enum Field {
    OUTSTANDING,
    QUEUE,
    UTILIZATION,
    RECENT_MS,
    THROUGHPUT,
    ERRORS,
    PINNED_MEMORY,
    LOADS,
    OTHER
  }

  // ---------------------------------------------------------------- events

  /** Something that has happened. */
  sealed interface Event
      permits Members,
          Call,
          Started,
          Outcome,
          Left,
          Due,
          Loaded,
          Heard,
          Probed,
          Known,
          Siblings,
          Wanted,
          Expiring {}

  /** News of the list of workers. */
  record Members(ListKind kind, List<Member> members) implements Event {}

  /**
   * Changes of the list, the whole of it, the whole as it was last held, or a request for it that
   * failed.
   */
  enum ListKind {
    DELTA,
    FULL,
    CACHED,
    FAILED
  }

  /** One line of the list. {@code cameUp} is the clock time of the last start, 0 for long past. */
  record Member(
      int worker, int zone, int kind, int cell, State state, double rating, long cameUp) {}

  /** What the list says of a worker; one that drains finishes its work and gets nothing new. */
  enum State {
    GONE,
    READY,
    DRAINING
  }

  /** A client's call; it is owed exactly one final answer within {@code patience}. */
  record Call(
      int id,
      long patience,
      long hint,
      long function,
      double lanes,
      double memoryMb,
      int callClass,
      int tenant,
      boolean repeat,
      boolean write,
      long loadTime)
      implements Event {}

  /** The streamed answer of an attempt has begun; from now on no deadline holds. */
  record Started(int call, int attempt, int worker) implements Event {}

  /**
   * How an attempt ended. {@code closed}: the call needs no answer any more. {@code crowd} -1: not
   * told.
   */
  record Outcome(
      int call,
      int attempt,
      int worker,
      Code code,
      long took,
      boolean closed,
      Note note,
      int crowd,
      float[] report)
      implements Event {}

  /** What an outcome told of the function's copy. */
  enum Note {
    NONE,
    WARM,
    BEGAN_LOAD,
    JOINED_LOAD,
    LOAD_FAILED
  }

  /** Outcome codes; {@code notRun}: proves that the attempt had no effect. */
  enum Code {
    OK(false),
    ERROR(false),
    FULL(true),
    TIMEOUT(false),
    CONNECT_FAILED(true),
    RESET(false),
    CANCELLED(false),
    MOOT(true),
    MISS(true);

    public final boolean notRun;

    Code(boolean notRun) {
      this.notRun = notRun;
    }
  }

  /** The client has gone; nothing is owed any more. */
  record Left(int call) implements Event {}

  /** A timer has run out. */
  record Due(long token) implements Event {}

  /** The answer to a {@link Hold}. */
  record Loaded(long took, int copies, int worker, Code code, long function) implements Event {}

  /** Bytes from a peer. */
  record Heard(int peer, byte[] bytes) implements Event {}

  /** The answer to a {@link Probe}. */
  record Probed(long took, int worker, Code code, float[] report) implements Event {}

  /**
   * In the place of the settings' number of front ends from now on: how many there likely are, and
   * by how much what belongs to all of them is divided here, which is no less.
   */
  record Siblings(double count, double divisor) implements Event {}

  /** Others want a copy of a function at a worker, as the last one is about to go. */
  record Wanted(int worker, long function) implements Event {}

  /**
   * The permission to send to these workers ends soon, as the source of the list is out of reach,
   * unless they take on work: a call or an order. The soonest first; for the first {@code urgent}
   * of them it is very soon.
   */
  record Expiring(List<Integer> workers, int urgent) implements Event {}

  /**
   * What another instance saw {@code age} ago; {@code weight}, up to 1, is what it is worth at that
   * age.
   */
  sealed interface Known extends Event permits KnownCopy, KnownWorker, KnownFunction {}

  /** A copy of a function stood loaded at a worker. */
  record KnownCopy(int worker, long function, long age, double weight) implements Known {}

  /** How a worker did: its time over the usual, and its share of bad outcomes. */
  record KnownWorker(int worker, double pace, double bad, long age, double weight)
      implements Known {}

  /** A function was served; {@code recent} calls of late, decaying. */
  record KnownFunction(
      long function,
      int callClass,
      double lanes,
      long loadTime,
      double recent,
      long age,
      double weight)
      implements Known {}

  // ---------------------------------------------------------------- actions

  /** Something to be done. */
  sealed interface Action
      permits Send,
          Refuse,
          Fail,
          Cancel,
          Timer,
          Probe,
          Tell,
          Log,
          Watch,
          Fetch,
          Hold,
          Drop,
          Close {}

  /** Starts an attempt; the attempts of a call are numbered from 0 in the order of their sends. */
  record Send(int call, int worker, long timeout) implements Action {}

  /** Final answer: not done, trying again does no harm. */
  record Refuse(int call, long retryAfter) implements Action {}

  /** Final answer: not served, nothing promised. */
  record Fail(int call) implements Action {}

  /** Stops waiting for an attempt. */
  record Cancel(int call, int attempt) implements Action {}

  /**
   * Asks for a {@link Due} after {@code delay}. A token of 0 or more names a call, and is void once
   * that is over.
   */
  record Timer(long delay, long token) implements Action {}

  /** Asks a worker how it is. */
  record Probe(int worker) implements Action {}

  /** Sends bytes to one peer, or to all with -1. */
  record Tell(int peer, byte[] bytes) implements Action {}

  /** A line for the operators. */
  record Log(String text) implements Action {}

  /** Asks to be told of changes of the list. */
  record Watch(boolean on) implements Action {}

  /** Asks for the whole list once. */
  record Fetch() implements Action {}

  /** Orders at least {@code copies} loaded copies of a function. */
  record Hold(int worker, long function, int copies) implements Action {}

  /** Unloads a function's idle copies. */
  record Drop(int worker, long function) implements Action {}

  /** Closes idle connections. */
  record Close(int worker) implements Action {}
}
