//! Actors on their own threads, and handles to call them from other threads and async tasks.
//!
//! An [`ActorThread`] runs one `stakker` main loop with one actor. Other threads hold an
//! [`ActorRef`] and run closures on the actor through it, so shared state needs no locks and
//! blocking code stays sequential.

use {
    crate::{
        runtime, task,
        verdict::{Cause, Failure},
    },
    stakker::{ActorOwn, Cx, Fwd, LogID, Stakker, ret_nop, sync::Channel},
    std::{
        io,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
            mpsc::{self, SyncSender},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
    tokio::{sync::oneshot, time::timeout},
};

/// Longest sleep of a main loop that has no timer.
const MAX_IDLE: Duration = Duration::from_secs(10);

type Action<A> = Box<dyn FnOnce(&mut A, &mut Cx<'_, A>) + Send>;

/// A handle to an actor on another thread.
pub struct ActorRef<A: 'static> {
    channel: Channel<Action<A>>,
}

impl<A: 'static> Clone for ActorRef<A> {
    fn clone(&self) -> Self {
        ActorRef {
            channel: self.channel.clone(),
        }
    }
}

/// Sends the single response of an actor, possibly after the call that requested it has returned.
pub struct Responder<R> {
    sender: oneshot::Sender<R>,
}

impl<R> Responder<R> {
    /// A responder and the receiver of its response, for callers on the actor's own thread.
    pub fn channel() -> (Self, oneshot::Receiver<R>) {
        let (sender, receiver) = oneshot::channel();
        (Responder { sender }, receiver)
    }

    /// Sends the response. Does nothing if the receiver was dropped.
    pub fn send(self, response: R) {
        let _ = self.sender.send(response);
    }
}

impl<A: 'static> ActorRef<A> {
    /// Runs the closure on the actor without waiting for it. Returns false if the actor has stopped.
    pub fn tell(&self, action: impl FnOnce(&mut A, &mut Cx<'_, A>) + Send + 'static) -> bool {
        self.channel.send(Box::new(action))
    }

    /// Runs the closure on the actor and waits for its result.
    ///
    /// # Errors
    ///
    /// `Stopping` if the actor has stopped: the closure did not run, or ran while the actor was
    /// stopping.
    pub fn ask<R: Send + 'static>(
        &self,
        action: impl FnOnce(&mut A, &mut Cx<'_, A>) -> R + Send + 'static,
    ) -> Result<R, Failure> {
        self.ask_deferred(move |actor, cx, responder| responder.send(action(actor, cx)))
    }

    /// Like [`ActorRef::ask`], for a response that the actor may send after the closure has returned.
    ///
    /// # Errors
    ///
    /// `Stopping` if the actor has stopped or dropped the [`Responder`].
    pub fn ask_deferred<R: Send + 'static>(
        &self,
        action: impl FnOnce(&mut A, &mut Cx<'_, A>, Responder<R>) + Send + 'static,
    ) -> Result<R, Failure> {
        let (responder, receiver) = Responder::channel();
        self.tell(move |actor, cx| action(actor, cx, responder));
        receiver.blocking_recv().map_err(|_| stopped_failure())
    }

    /// Like [`ActorRef::ask_deferred`], for async tasks.
    ///
    /// # Errors
    ///
    /// As for [`ActorRef::ask_deferred`].
    pub async fn ask_async<R: Send + 'static>(
        &self,
        action: impl FnOnce(&mut A, &mut Cx<'_, A>, Responder<R>) + Send + 'static,
    ) -> Result<R, Failure> {
        let (responder, receiver) = Responder::channel();
        self.tell(move |actor, cx| action(actor, cx, responder));
        receiver.await.map_err(|_| stopped_failure())
    }

    /// Like [`ActorRef::ask_deferred`], with a time-out.
    ///
    /// # Errors
    ///
    /// `Stopping` as for [`ActorRef::ask_deferred`]; `Timeout` with the verdict `may-have-run`
    /// after the time-out.
    pub fn ask_within<R: Send + 'static>(
        &self,
        time: Duration,
        action: impl FnOnce(&mut A, &mut Cx<'_, A>, Responder<R>) + Send + 'static,
    ) -> Result<R, Failure> {
        let (responder, receiver) = Responder::channel();
        self.tell(move |actor, cx| action(actor, cx, responder));
        let timed_out = || Failure::may_have_run(Cause::Timeout, "it is not written down yet");
        let result = runtime::block_on(async { timeout(time, receiver).await });
        let received = result.map_err(|error| Failure::not_run(Cause::Stopping, error.to_string()));
        received?
            .map_err(|_| timed_out())?
            .map_err(|_| stopped_failure())
    }
}

fn stopped_failure() -> Failure {
    Failure::not_run(Cause::Stopping, "the actor is gone")
}

/// A thread that runs one main loop with one actor. Dropping it stops the actor.
pub struct ActorThread<A: 'static> {
    actor_ref: ActorRef<A>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl<A: 'static> ActorThread<A> {
    /// Starts the thread and creates the actor on it.
    ///
    /// `init` receives a handle to the new actor, to pass on to tasks that it starts.
    ///
    /// # Errors
    ///
    /// The thread cannot be created.
    pub fn start(
        name: &str,
        init: impl FnOnce(&mut Cx<'_, A>, ActorRef<A>) -> A + Send + 'static,
    ) -> io::Result<Self> {
        let stopped = Arc::new(AtomicBool::new(false));
        let stop_flag = stopped.clone();
        let (sender, receiver) = mpsc::sync_channel(1);
        let thread = task::spawn(name, move || run(init, &sender, &stop_flag))?;
        let actor_ref = receiver.recv().map_err(io::Error::other)?;
        Ok(ActorThread {
            actor_ref,
            stopped,
            thread: Some(thread),
        })
    }

    /// A handle to the actor.
    pub fn actor_ref(&self) -> &ActorRef<A> {
        &self.actor_ref
    }

    /// Stops the main loop, drops the actor and joins the thread.
    pub fn stop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        let Some(thread) = self.thread.take() else {
            return;
        };
        thread.thread().unpark();
        // The panic hook has already printed a panic of the thread.
        let _ = thread.join();
    }
}

impl<A: 'static> Drop for ActorThread<A> {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Main function of an actor thread.
fn run<A: 'static>(
    init: impl FnOnce(&mut Cx<'_, A>, ActorRef<A>) -> A,
    sender: &SyncSender<ActorRef<A>>,
    stopped: &AtomicBool,
) {
    let mut stakker = Stakker::new(Instant::now());
    let this = thread::current();
    stakker.set_poll_waker(move || this.unpark());
    let actor: ActorOwn<A> = ActorOwn::new(&mut stakker, ret_nop!(), LogID::default());
    let target = actor.clone();
    let actions = Fwd::new(move |action: Action<A>| {
        let actor = target.clone();
        target.defer(move |s| actor.apply(s, action));
    });
    let (channel, guard) = Channel::new(&mut stakker, actions);
    let actor_ref = ActorRef { channel };
    let init_ref = actor_ref.clone();
    actor.apply_prep(&mut stakker, move |cx| Some(init(cx, init_ref)));
    let _ = sender.send(actor_ref);
    while !stopped.load(Ordering::Acquire) {
        stakker.poll_wake();
        let idle = stakker.run(Instant::now(), false);
        let wait = stakker.next_wait_max(Instant::now(), MAX_IDLE, idle);
        if !wait.is_zero() {
            thread::park_timeout(wait);
        }
    }
    drop(guard);
}

#[cfg(test)]
mod tests {
    use {super::*, stakker::after};

    struct Counter(u64);

    impl Counter {
        fn send_later(&mut self, cx: &mut Cx<'_, Self>, responder: Responder<u64>) {
            after!(Duration::from_millis(1), [cx], |this, _| responder
                .send(this.0));
        }
    }

    #[test]
    fn ask_returns_state() {
        let mut thread = ActorThread::start("counter", |_, _| Counter(1)).unwrap();
        assert!(thread.actor_ref().tell(|counter, _| counter.0 += 1));
        assert_eq!(thread.actor_ref().ask(|counter, _| counter.0), Ok(2));
        let actor = thread.actor_ref().clone();
        thread.stop();
        assert!(!actor.tell(|counter, _| counter.0 += 1));
        assert_eq!(
            actor.ask(|counter, _| counter.0).unwrap_err().cause,
            Cause::Stopping
        );
    }

    #[test]
    fn ask_deferred_after_timer() {
        let thread = ActorThread::start("counter", |_, _| Counter(7)).unwrap();
        let response = thread
            .actor_ref()
            .ask_deferred(|counter, cx, responder| counter.send_later(cx, responder));
        assert_eq!(response, Ok(7));
    }

    #[test]
    fn ask_within_time() {
        let thread = ActorThread::start("counter", |_, _| Counter(7)).unwrap();
        let (sender, receiver) = mpsc::channel();
        let timed_out: Result<u64, _> =
            thread
                .actor_ref()
                .ask_within(Duration::ZERO, move |_, _, responder| {
                    let _ = sender.send(responder);
                });
        assert_eq!(timed_out.unwrap_err().cause, Cause::Timeout);
        receiver.recv().unwrap().send(1);
    }

    #[test]
    fn ask_dropped_responder() {
        let thread = ActorThread::start("counter", |_, _| Counter(7)).unwrap();
        let response: Result<u64, _> = thread
            .actor_ref()
            .ask_deferred(|_, _, responder| drop(responder));
        assert!(response.is_err());
    }
}
